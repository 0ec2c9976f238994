/** A request as each of its attempts sends it. */
import type { Readable } from "node:stream";
import type { HttpHeaders } from "../http/httpheaders.js";

/** Excludes the header fields that apply to the caller's connection only. */
export type OutgoingRequest = {
    /** The caller's id of the request, or winglock's where callers give none; all log lines of the request have it. */
    readonly id: string;
    readonly method: string;
    readonly headers: HttpHeaders;
    readonly path: string;
    /** `kept` is false for a body that is streamed; such a request can be sent only once. */
    readonly body: { readonly content: Buffer | Readable | undefined; readonly kept: boolean; };
};
