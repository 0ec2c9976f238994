/** A request as a peer sent it. */
import type { CallHead } from "../hop/callhead.js";
import type { HttpHeaders } from "../hop/httpheaders.js";
import type { WireBody } from "./wirebody.js";

/** The head says what the gate needs; the rest is the request as it goes to the upstream. */
export type WireCall = {
    readonly head: CallHead;
    readonly method: string;
    readonly path: string;
    readonly headers: HttpHeaders;
    readonly body: WireBody;
};
