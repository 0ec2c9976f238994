/**
 * Of two attempts made side by side, which one counts?
 *
 * What serves first; then what may have run, since a refusal of the other attempt proves nothing of this one.
 */
import type { AttemptResult } from "./attemptresult.js";

const ORDER: readonly AttemptResult<unknown>["outcome"][] = ["served", "failed", "unknown", "not-run"];

/** Returns the more telling result; the first of two alike. */
export function pickResult<Answer>(one: AttemptResult<Answer>, two: AttemptResult<Answer>): AttemptResult<Answer> {
    return ORDER.indexOf(one.outcome) <= ORDER.indexOf(two.outcome) ? one : two;
}
