/** Of two tries made side by side, the one to act on. */
import type { AttemptResult } from "./attemptresult.js";

/** What serves first; then what may have run, since a refusal of the other try proves nothing of this one. */
const ORDER: readonly AttemptResult["outcome"][] = ["served", "failed", "unknown", "not-run"];

/** Returns the more telling result; the first of two alike. */
export function pickResult(one: AttemptResult, two: AttemptResult): AttemptResult {
    return ORDER.indexOf(one.outcome) <= ORDER.indexOf(two.outcome) ? one : two;
}
