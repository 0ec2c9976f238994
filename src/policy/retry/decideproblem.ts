/**
 * Decides which problem is sent to a caller whose request ends without a response of an upstream.
 *
 * If the deadline has passed, the problem is `deadline`, whatever is proven of the request. Otherwise it is
 * `answer-lost` if the request may have run, and the problem of the reason if it is proven not to have run.
 */
import type { Outcome } from "./outcome.js";
import type { ProblemType } from "./problemtype.js";
import type { Reason } from "./reason.js";
import { reasons } from "./reasons.js";

/** Returns the problem for the outcome and the reason of the last attempt. */
export function decideProblem(outcome: Outcome, reason: Reason): ProblemType {
    const { problem } = reasons[reason];
    return outcome === "not-run" || problem === "deadline" ? problem : "answer-lost";
}
