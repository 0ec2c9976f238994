/** Decodes and validates the metadata of a response. */
import { ResponseMetadata } from "./responsemetadata.js";
import { responseMetadataCodec } from "./responsemetadatacodec.js";

/** Returns the metadata, or undefined if it is invalid. */
export function readResponseMetadata(list: unknown): ResponseMetadata | undefined {
    return ResponseMetadata.safeParse(responseMetadataCodec.read(list)).data;
}
