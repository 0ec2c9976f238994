/** Decodes and validates the metadata of a response. */
import { noteCodec } from "./notecodec.js";
import { ResponseMetadata } from "./responsemetadata.js";

/** Returns the metadata, or undefined if it is invalid. */
export function readResponseMetadata(list: unknown): ResponseMetadata | undefined {
    return ResponseMetadata.safeParse(noteCodec.read(list)).data;
}
