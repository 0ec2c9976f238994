/** The request as every attempt sends it. */
import type { HttpHeaders } from "../http/httpheaders.js";
import type { readBody } from "./requestbody.js";

/** Cleaned of what belongs to the caller's connection. */
export type Outgoing = {
    /** The caller's own id of the request, or winglock's; all log lines of the request have it. */
    readonly id: string;
    readonly method: string;
    readonly headers: HttpHeaders;
    readonly path: string;
    readonly body: Awaited<ReturnType<typeof readBody>>;
};
