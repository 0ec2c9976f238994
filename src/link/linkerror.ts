/** Defines the error of a connection between daemons. */
import type { Reason } from "../policy/retry/reason.js";
import { reasons } from "../policy/retry/reasons.js";

/** The reasons of failures; policy/retry/reasons.ts states what each proves of the request. */
type LinkReason = Extract<
    Reason,
    "unreachable" | "too-many-connections" | "called-off" | "peer-broke" | "not-a-frame" | "bad-call" | "broken-body"
>;

/** Thrown for a request whose connection failed, a body that broke off, or bytes that violate the protocol. */
export class LinkError extends Error {
    constructor(readonly reason: LinkReason, options?: ErrorOptions) {
        super(reason, options);
        this.name = "LinkError";
    }

    /** True if it is proven that no byte of the request was sent, so that it has not run. */
    get unsent(): boolean {
        return reasons[this.reason].proves === "not-run";
    }
}
