/** The error of a connection between daemons. */
import type { Reason } from "../policy/retry/reason.js";
import { reasons } from "../policy/retry/reasons.js";

/** What may go wrong; policy/retry/reasons.ts says what each proves. */
type LinkReason = Extract<
    Reason,
    "unreachable" | "too-many-connections" | "called-off" | "peer-broke" | "not-a-frame" | "bad-call" | "broken-body"
>;

/** A request whose connection failed, or a body that broke off. */
export class LinkError extends Error {
    constructor(readonly reason: LinkReason, options?: ErrorOptions) {
        super(reason, options);
        this.name = "LinkError";
    }

    /** True when it is proven that no byte of the request was sent. */
    get unsent(): boolean {
        return reasons[this.reason].proves === "not-run";
    }
}
