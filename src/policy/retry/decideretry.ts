/**
 * May a request be tried again after an attempt that did not serve it?
 *
 * By what is proven, not by status. Whatever has reached an upstream is an arrival, also one that the upstream turned away: each
 * attempt that can be one more comes out of the retry budget, without exception. Short of that, a request that belongs
 * elsewhere moves there for free, a bounded number of times, and a proven `not-run` may be tried again; where the refusal was
 * for load the attempt is paid for too, since a retry adds to a load that is too high already. What may have run is tried again
 * only when it is repeatable. One under which upstreams have crashed goes to no other. Every decision rests on the caller's remaining time, and on whether the body can be sent once more.
 *
 * The rows of reasons.ts say what is for load; how much there is to spend, ownallowance.ts.
 */
import type { Kind } from "../../config/kind.js";
import type { Standing } from "../quarantine/standing.js";
import type { AttemptResult } from "./attemptresult.js";
import { maxMoves } from "./maxmoves.js";
import { reasons } from "./reasons.js";
import type { Retries } from "./retries.js";
import type { RetryDecision } from "./retrydecision.js";

/** The request, after the attempt that ended last. */
type RetryInput = {
    readonly result: Exclude<AttemptResult<unknown>, { readonly outcome: "served"; }>;
    readonly kind: Kind;
    /** Attempts that count, and how many the rule allows. */
    readonly attempts: number;
    readonly maxAttempts: number;
    /** Moves, that of the last attempt among them. */
    readonly moves: number;
    /** What is left of the request's time limit, in milliseconds. */
    readonly remainingMs: number;
    readonly bodyKept: boolean;
    /** Another attempt would be an arrival beyond the first that nothing has been paid for. */
    readonly owes: boolean;
    /** By the crashes of upstreams under it. */
    readonly standing: Standing;
};

/** Spends from the budget when it says `budget`; `now` is on the daemon's clock, in milliseconds. */
export function decideRetry(
    input: RetryInput,
    { budget, allowance }: Pick<Retries, "budget" | "allowance">,
    now: number,
): RetryDecision {
    const { result, kind, attempts, maxAttempts, moves, remainingMs, bodyKept, owes, standing } = input;
    const pay = (): RetryDecision =>
        budget.spend(allowance, now) ? { again: true, why: "budget" } : { again: false, why: "budget-spent" };
    const facts = result.outcome === "failed" ? undefined : reasons[result.reason];
    if (
        standing === "quarantined" || facts?.isFinal === true
        || (standing === "suspect" && result.outcome !== "not-run")
    ) {
        return { again: false, why: "quarantined" };
    }
    if (remainingMs <= 0) {
        return { again: false, why: "time-over" };
    }
    if (!bodyKept) {
        return { again: false, why: "body-gone" };
    }
    if (result.outcome === "failed" && result.retriedBelow) {
        return { again: false, why: "retried-below" };
    }
    if (facts?.moves === true && moves <= maxMoves) {
        return owes ? pay() : { again: true, why: "moves" };
    }
    if (attempts >= maxAttempts) {
        return { again: false, why: "attempts-spent" };
    }
    if (result.outcome !== "not-run" && kind !== "repeatable") {
        return { again: false, why: "may-have-run" };
    }
    if (result.outcome === "not-run" && facts?.costsBudget === false && !owes) {
        return { again: true, why: "free" };
    }
    return pay();
}
