/** Reads a gate's note. */
import { noteCodec } from "./notecodec.js";
import { ResponseMetadata } from "./responsemetadata.js";

/** Returns undefined for what is no note. */
export function readResponseMetadata(list: unknown): ResponseMetadata | undefined {
    return ResponseMetadata.safeParse(noteCodec.read(list)).data;
}
