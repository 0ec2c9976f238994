/** The request as it goes to every try. */
import type { HttpHeaders } from "../hop/httpheaders.js";
import type { readBody } from "./requestbody.js";

/** Cleaned of what belongs to the caller's connection. */
export type Outgoing = {
    readonly method: string;
    readonly headers: HttpHeaders;
    readonly path: string;
    readonly body: Awaited<ReturnType<typeof readBody>>;
};
