/**
 * What is a caller told whose request ends without an upstream's answer?
 *
 * A request that ran out of time is told so, whatever is proven of it. Of any other that may have run, only that its answer
 * is lost; a proven `not-run` is told by its reason.
 */
import type { Outcome } from "./outcome.js";
import type { ProblemType } from "./problemtype.js";
import type { Reason } from "./reason.js";
import { reasons } from "./reasons.js";

/** `outcome` is what is known of the last attempt. */
export function tellProblem(outcome: Outcome, reason: Reason): ProblemType {
    const { problem } = reasons[reason];
    return outcome === "not-run" || problem === "deadline" ? problem : "answer-lost";
}
