/** Decodes and validates the metadata of a request. */
import { RequestMetadata } from "./requestmetadata.js";
import { requestMetadataCodec } from "./requestmetadatacodec.js";

/** Returns the metadata, or undefined if it is invalid. */
export function readRequestMetadata(list: unknown): RequestMetadata | undefined {
    return RequestMetadata.safeParse(requestMetadataCodec.read(list)).data;
}
