/** A request as each of its attempts sends it. */
import type { HttpHeaders } from "../http/httpheaders.js";
import type { readBody } from "./readbody.js";

/** Excludes the header fields that apply to the caller's connection only. */
export type OutgoingRequest = {
    /** The caller's id of the request, or winglock's where callers give none; all log lines of the request have it. */
    readonly id: string;
    readonly method: string;
    readonly headers: HttpHeaders;
    readonly path: string;
    readonly body: Awaited<ReturnType<typeof readBody>>;
};
