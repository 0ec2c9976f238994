/** The error of the layer that talks to an upstream. */
import type { Reason } from "../policy/retry/reason.js";

/** What may go wrong there; policy/retry/reasons.ts says which of them prove that the request has not run. */
type UpstreamReason = Extract<
    Reason,
    "shed" | "leaving" | "misdirected" | "foreign-answer" | "unreachable" | "upstream-broke"
>;

/** An attempt that brought no answer of the upstream to the request. */
export class UpstreamError extends Error {
    constructor(readonly reason: UpstreamReason, options?: ErrorOptions) {
        super(reason, options);
        this.name = "UpstreamError";
    }
}
