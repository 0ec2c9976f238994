/** Decodes a response from the payload of a frame. */
import { readResponseMetadata } from "../wire/readresponsemetadata.js";
import { LinkError } from "./linkerror.js";
import { readHeaders } from "./readheaders.js";
import { readWireBody } from "./readwirebody.js";
import { unpackList } from "./unpacklist.js";
import type { WireResponse } from "./wireresponse.js";

/** Returns the response; throws a LinkError if the payload is not one. */
export function unpackResponse(payload: Buffer): WireResponse {
    const [metadataFields, status, headerFields, last, follows, body] = unpackList(payload);
    const metadata = readResponseMetadata(metadataFields);
    const headers = readHeaders(headerFields);
    if (metadata === undefined || headers === undefined || typeof status !== "number") {
        throw new LinkError("not-a-frame");
    }
    return { metadata, status, headers, last: last === true, body: readWireBody(follows, body) };
}
