/** Decodes a request from the payload of a frame. */
import { readRequestMetadata } from "../wire/readrequestmetadata.js";
import { LinkError } from "./linkerror.js";
import { OnDemandBody } from "./ondemandbody.js";
import { readHeaders } from "./readheaders.js";
import { readWireBody } from "./readwirebody.js";
import { unpackList } from "./unpacklist.js";
import type { WireCall } from "./wirecall.js";

/** Returns the request; throws a LinkError if the payload is not one. */
export function unpackCall(payload: Buffer): WireCall {
    const [metadataFields, method, path, headerFields, follows, body] = unpackList(payload);
    const head = readRequestMetadata(metadataFields);
    const headers = readHeaders(headerFields);
    if (head === undefined || headers === undefined || typeof method !== "string" || typeof path !== "string") {
        throw new LinkError("bad-call");
    }
    return { head, method, path, headers, body: readCallBody(follows, body) };
}

const readCallBody = (follows: unknown, body: unknown): WireCall["body"] =>
    follows === "on-demand"
        ? new OnDemandBody(typeof body === "number" ? body : undefined)
        : readWireBody(follows, body);
