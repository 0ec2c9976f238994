/** Writes an answer as the payload of a frame. */
import { pack } from "msgpackr";
import { responseMetadataCodec } from "../wire/responsemetadatacodec.js";
import type { WireAnswer } from "./wireanswer.js";
import { writeHeaders } from "./writeheaders.js";

/** A list of the note, the status, the fields, whether the connection ends, whether a body follows, and the body. */
export function packResponse({ note, status, headers, last, body }: WireAnswer): Buffer {
    const follows = body === "follows";
    const list = [responseMetadataCodec.write(note), status, writeHeaders(headers), last, follows];
    return pack(body === undefined || follows ? list : [...list, body]);
}
