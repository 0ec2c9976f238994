/** A request on its way from ingress to gate. */
import type { Readable } from "node:stream";
import type { Cancel } from "../http/cancel.js";
import type { HttpHeaders } from "../http/httpheaders.js";
import type { RuleName } from "../ids/rulename.js";
import type { CallHead } from "../wire/callhead.js";

/** `cancel` aborts when the caller has left or the ingress has given up. */
export type GateCall = {
    readonly head: CallHead;
    /** The rule by which it is served, as the nearest daemon knows it. */
    readonly rule: RuleName | undefined;
    readonly method: string;
    readonly path: string;
    readonly headers: HttpHeaders;
    readonly body: Buffer | Readable | undefined;
    readonly cancel: Cancel;
};
