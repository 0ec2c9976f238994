/** A request as a peer sent it. */
import type { HttpHeaders } from "../http/httpheaders.js";
import type { RequestMetadata } from "../wire/requestmetadata.js";
import type { WireBody } from "./wirebody.js";

/** The head says what the gate needs; the rest is the request as it goes to the upstream. */
export type WireCall = {
    readonly head: RequestMetadata;
    readonly method: string;
    readonly path: string;
    readonly headers: HttpHeaders;
    readonly body: WireBody;
};
