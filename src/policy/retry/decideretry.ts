/**
 * Decides whether a request gets another attempt after one that did not serve it.
 *
 * The decision rests on what is proven of the last attempt, not on its status:
 *
 * - Every attempt that reached an upstream is an arrival, even if the upstream refused it. Each attempt that may be a
 *   repeat costs budget, without exception.
 * - An attempt that is refused because the request belongs elsewhere is followed by a redirect, which is free up to a
 *   maximum. Beyond that, each upstream may redirect the request for free once (attempthistory.ts).
 * - A request that is proven not to have run may be retried. If it was refused for load, the retry costs budget, since
 *   it adds to a load that is too high already.
 * - A request that may have run is retried only if it is repeatable.
 * - A request that is suspected of having crashed upstreams goes to no other, unless the last attempt did not run it. A
 *   quarantined request never does.
 * - There is no further attempt when the time limit has passed or the body can't be sent again.
 *
 * The table in reasons.ts states which refusals are for load; daemonallowance.ts limits the budget.
 */
import type { RequestKind } from "../../config/requestkind.js";
import type { QuarantineStatus } from "../quarantine/quarantinestatus.js";
import type { AttemptResult } from "./attemptresult.js";
import { maxRedirects } from "./maxredirects.js";
import { reasons } from "./reasons.js";
import type { Retries } from "./retries.js";
import type { RetryDecision } from "./retrydecision.js";

/** Describes the request after its last attempt. */
type RetryInput = {
    readonly result: Exclude<AttemptResult<unknown>, { readonly outcome: "served"; }>;
    readonly kind: RequestKind;
    /** The number of attempts so far, without redirects. */
    readonly attempts: number;
    /** The number of attempts that the rule allows, without redirects. */
    readonly maxAttempts: number;
    /** The number of redirects, that of the last attempt included. */
    readonly redirects: number;
    /** The rest of the request's time limit, in milliseconds. */
    readonly remainingMs: number;
    readonly bodyKept: boolean;
    /** True if the next attempt is a repeat for which no budget has been spent yet. */
    readonly needsBudget: boolean;
    /** Whether the request is suspected of crashing upstreams, or quarantined for it. */
    readonly quarantineStatus: QuarantineStatus;
};

/**
 * Returns the decision, and spends one repeat from the budget if its reason is `budget`.
 *
 * `now` is the time in milliseconds on the daemon's clock.
 */
export function decideRetry(
    input: RetryInput,
    { budget, allowance }: Pick<Retries, "budget" | "allowance">,
    now: number,
): RetryDecision {
    const {
        result,
        kind,
        attempts,
        maxAttempts,
        redirects,
        remainingMs,
        bodyKept,
        needsBudget,
        quarantineStatus,
    } = input;
    const decideByBudget = (): RetryDecision =>
        budget.spend(allowance, now) ? { again: true, why: "budget" } : { again: false, why: "budget-spent" };
    const facts = result.outcome === "failed" ? undefined : reasons[result.reason];
    if (
        quarantineStatus === "quarantined" || facts?.isFinal === true
        || (quarantineStatus === "suspect" && result.outcome !== "not-run")
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
    if (facts?.causesRedirect === true && redirects <= maxRedirects) {
        return needsBudget ? decideByBudget() : { again: true, why: "moves" };
    }
    if (attempts >= maxAttempts) {
        return { again: false, why: "attempts-spent" };
    }
    if (result.outcome !== "not-run" && kind !== "repeatable") {
        return { again: false, why: "may-have-run" };
    }
    if (result.outcome === "not-run" && facts?.costsBudget === false && !needsBudget) {
        return { again: true, why: "free" };
    }
    return decideByBudget();
}
