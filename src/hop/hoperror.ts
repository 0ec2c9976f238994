/** The error of a hop. */
import type { Reason } from "../policy/retry/reason.js";
import type { AnswerNote } from "../wire/answernote.js";

/** `not-run` is proven; `broken` means that no answer came and the gate may be asked; `unknown` is final. */
type HopOutcome = "not-run" | "unknown" | "broken";

/** An attempt that brought no answer of the upstream. */
export class HopError extends Error {
    constructor(
        readonly outcome: HopOutcome,
        readonly reason: Reason,
        readonly note?: AnswerNote,
        options?: ErrorOptions,
    ) {
        super(`${outcome}: ${reason}`, options);
        this.name = "HopError";
    }
}
