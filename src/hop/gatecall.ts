/** A request as an ingress passes it to a gate. */
import type { Readable } from "node:stream";
import type { Cancellation } from "../http/cancellation.js";
import type { HttpHeaders } from "../http/httpheaders.js";
import type { RuleName } from "../ids/rulename.js";
import type { RequestMetadata } from "../wire/requestmetadata.js";

/** `cancel` aborts when the caller has left or the ingress no longer needs a response. */
export type GateCall = {
    readonly head: RequestMetadata;
    /** The rule that the request is served under; a remote gate's daemon sets the one that it matches itself. */
    readonly rule: RuleName | undefined;
    readonly method: string;
    readonly path: string;
    readonly headers: HttpHeaders;
    readonly body: Buffer | Readable | undefined;
    readonly cancel: Cancellation;
    /**
     * Returns a promise that resolves when `cancel` reflects all that arrived while the process did not run; undefined if
     * it does already.
     */
    readonly settleCancel?: ((now: number) => Promise<void> | undefined) | undefined;
    /** Asks the sender for the body, which it keeps until then; undefined if `body` is already the whole body. */
    readonly fetchBody?: (() => Promise<Buffer | Readable>) | undefined;
};
