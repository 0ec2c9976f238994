/** Whether a request whose try has come to nothing is tried again. */
import type { Kind } from "../../config/kind.js";
import type { Outcome } from "./outcome.js";
import type { RetryBudget } from "./retrybudget.js";

/** What is known after a try; `retriedBelow` says that a hop nearer to the failure has retried already. */
type Attempt = {
    readonly outcome: Outcome;
    readonly kind: Kind;
    /** Tries so far and the most that the rule allows, redirects apart. */
    readonly tries: number;
    readonly maxTries: number;
    readonly remainingMs: number;
    readonly bodyKept: boolean;
    readonly retriedBelow: boolean;
    /** Refused not for load but since it belongs elsewhere: handed back, or the gate is leaving. */
    readonly redirected: boolean;
    readonly redirects: number;
    /** Refused since the gate is busy: a retry adds to a load that is too high already. */
    readonly overloaded: boolean;
};

const MAX_REDIRECTS = 2;

/** Decides by outcome, not by status: `not-run` may go elsewhere, the rest only when it is repeatable. */
export function decideRetry(attempt: Attempt, budget: RetryBudget): boolean {
    if (attempt.remainingMs <= 0 || !attempt.bodyKept || attempt.retriedBelow) {
        return false;
    }
    if (attempt.redirected && attempt.redirects <= MAX_REDIRECTS) {
        return true;
    }
    if (attempt.tries >= attempt.maxTries) {
        return false;
    }
    if (attempt.outcome !== "not-run" && attempt.kind !== "repeatable") {
        return false;
    }
    const isFree = attempt.outcome === "not-run" && !attempt.overloaded;
    return isFree || budget.spend();
}
