/** Defines the error of an attempt that got no response from an upstream. */
import type { Reason } from "../policy/retry/reason.js";

/**
 * Reasons for the failure of an attempt. The table in policy/retry/reasons.ts states for each whether it proves that
 * the request has not run.
 */
type UpstreamReason = Extract<
    Reason,
    | "shed"
    | "leaving"
    | "misdirected"
    | "foreign-answer"
    | "unreachable"
    | "upstream-broke"
    | "deadline-or-revoked"
    | "caller-left"
>;

/** Thrown if an attempt yields no response of the upstream to the request itself. */
export class UpstreamError extends Error {
    constructor(readonly reason: UpstreamReason, options?: ErrorOptions) {
        super(reason, options);
        this.name = "UpstreamError";
    }
}
