/**
 * Decides which of the results of two parallel attempts counts.
 *
 * The one that served the request comes first, then one that may have run: a refusal of one attempt proves nothing of
 * the other.
 */
import type { AttemptResult } from "./attemptresult.js";

const OUTCOME_PRECEDENCE: readonly AttemptResult<unknown>["outcome"][] = ["served", "failed", "unknown", "not-run"];

/** Returns the result whose outcome has precedence, or the first if both outcomes are the same. */
export function pickResult<UpstreamResponse>(
    first: AttemptResult<UpstreamResponse>,
    second: AttemptResult<UpstreamResponse>,
): AttemptResult<UpstreamResponse> {
    return OUTCOME_PRECEDENCE.indexOf(first.outcome) <= OUTCOME_PRECEDENCE.indexOf(second.outcome) ? first : second;
}
