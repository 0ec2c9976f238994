/** Makes and counts a gate's refusals. */
import { HopError } from "../hop/hoperror.js";
import type { Reason } from "../policy/retry/reason.js";
import { reasons } from "../policy/retry/reasons.js";
import type { AnswerNote } from "../wire/answernote.js";

/**
 * The table of reasons says whether a refused request is proven not to have run; the ledger guarantees it. `onHeldBack` is told of those
 * that are refused for the upstream's request rate.
 */
export class GateRefusals {
    #count = 0;

    /** `note` makes the note of an answer, with the gate's load as it is now. */
    constructor(
        private readonly createNote: (fields: Partial<AnswerNote>) => AnswerNote,
        private readonly onHeldBack: (reason: "cold" | "limited") => void = () => {},
    ) {}

    get count(): number {
        return this.#count;
    }

    create(reason: Reason, fields: Partial<AnswerNote> = {}): HopError {
        this.#count += 1;
        if (reason === "cold" || reason === "limited") {
            this.onHeldBack(reason);
        }
        const outcome = reasons[reason].proves === "unknown" ? "unknown" : "not-run";
        return new HopError(outcome, reason, this.createNote({ outcome, reason, ...fields }));
    }
}
