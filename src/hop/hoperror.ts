/** The error of a hop. */
import type { AnswerNote } from "../wire/answernote.js";

/** `not-run` is proven; `broken` means that no word came and the gate may be asked; `unknown` is final. */
type HopOutcome = "not-run" | "unknown" | "broken";

/** A try that brought no answer of the upstream. */
export class HopError extends Error {
    constructor(
        readonly outcome: HopOutcome,
        readonly reason: string,
        readonly note?: AnswerNote,
        options?: ErrorOptions,
    ) {
        super(`${outcome}: ${reason}`, options);
        this.name = "HopError";
    }
}
