/** Encodes a response as the payload of a frame. */
import { pack } from "msgpackr";
import { responseMetadataCodec } from "../wire/responsemetadatacodec.js";
import type { WireResponse } from "./wireresponse.js";
import { writeHeaders } from "./writeheaders.js";

/**
 * Returns a MessagePack list of the metadata, the status, the header fields, whether the connection closes, whether the
 * body follows in frames, and the body if it is buffered.
 */
export function packResponse({ metadata, status, headers, last, body }: WireResponse): Buffer {
    const follows = body === "follows";
    const list = [responseMetadataCodec.write(metadata), status, writeHeaders(headers), last, follows];
    return pack(body === undefined || follows ? list : [...list, body]);
}
