/** A request as a peer sent it. */
import type { HttpHeaders } from "../http/httpheaders.js";
import type { CallHead } from "../wire/callhead.js";
import type { WireBody } from "./wirebody.js";

/** The head says what the gate needs; the rest is the request as it goes to the upstream. */
export type WireCall = {
    readonly head: CallHead;
    readonly method: string;
    readonly path: string;
    readonly headers: HttpHeaders;
    readonly body: WireBody;
};
