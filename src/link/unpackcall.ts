/** Reads a request from the payload of a frame. */
import { readRequestMetadata } from "../wire/readrequestmetadata.js";
import { LinkError } from "./linkerror.js";
import { readHeaders } from "./readheaders.js";
import { readWireBody } from "./readwirebody.js";
import { unpackList } from "./unpacklist.js";
import type { WireCall } from "./wirecall.js";

/** Throws a LinkError for what is no request. */
export function unpackCall(payload: Buffer): WireCall {
    const [headList, method, path, headerList, follows, body] = unpackList(payload);
    const head = readRequestMetadata(headList);
    const headers = readHeaders(headerList);
    if (head === undefined || headers === undefined || typeof method !== "string" || typeof path !== "string") {
        throw new LinkError("bad-call");
    }
    return { head, method, path, headers, body: readWireBody(follows, body) };
}
