/** The error of an attempt that ended without a response from the upstream. */
import type { Reason } from "../policy/retry/reason.js";
import type { ResponseMetadata } from "../wire/responsemetadata.js";

/**
 * `not-run`: the request has provably not run. `broken`: no response arrived, and the gate can be asked whether the
 * request has run. `unknown`: the request may have run, and asking the gate would not show
 * whether it has.
 */
type HopOutcome = "not-run" | "unknown" | "broken";

/** Thrown by a hop or a gate; `metadata` is that of the gate's response, if the gate sent one. */
export class HopError extends Error {
    constructor(
        readonly outcome: HopOutcome,
        readonly reason: Reason,
        readonly metadata?: ResponseMetadata,
        options?: ErrorOptions,
    ) {
        super(`attempt failed (${outcome}): ${reason}`, options);
        this.name = "HopError";
    }
}
