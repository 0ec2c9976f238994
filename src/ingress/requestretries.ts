/**
 * Applies the decisions of src/policy/retry to one request: whether and when it is sent again.
 *
 * Owns the history of the request's attempts and logs each decision. Times are in milliseconds.
 */
import type { QuarantineStatus } from "../policy/quarantine/quarantinestatus.js";
import { AttemptHistory } from "../policy/retry/attempthistory.js";
import { decideHedge } from "../policy/retry/decidehedge.js";
import { decideRetry } from "../policy/retry/decideretry.js";
import { defaultMaxAttempts } from "../policy/retry/defaultmaxattempts.js";
import type { Retries } from "../policy/retry/retries.js";
import type { RetryDecision } from "../policy/retry/retrydecision.js";
import type { IngressDependencies } from "./ingressdependencies.js";
import type { Plan } from "./plan.js";
import type { RequestLog } from "./requestlog.js";
import type { UnservedResult } from "./unservedresult.js";
import type { UpstreamView } from "./upstreamview.js";

const TENTHS_PER_REPEAT = 10;

/** Dependencies that the request handler provides; the plan may change between attempts. */
type RetryDependencies = {
    readonly ingress: IngressDependencies;
    readonly plan: () => Plan;
    /** True if the body can be sent again. */
    readonly bodyKept: boolean;
    /** True if the body is a stream of which no attempt has sent anything. */
    readonly isBodyUnread: () => boolean;
    /** The number of requests that wait behind this one on the caller's connection. */
    readonly requestsBehind: () => number;
    readonly quarantineStatus: () => QuarantineStatus;
    readonly log: RequestLog;
};

/** Tracks the attempts of one request. */
export class RequestRetries {
    readonly history = new AttemptHistory<UpstreamView>();

    constructor(private readonly deps: RetryDependencies) {}

    /** Records the request in the retry budget of its service; a call from a repeat counts as a repeat. */
    recordArrival(): void {
        const { ingress: { clock }, plan } = this.deps;
        const { budget } = this.#retries();
        if (plan().arrival === "call") {
            budget.recordRepeat(clock());
        }
        else {
            budget.recordRequest(clock());
        }
    }

    /** Decides whether another attempt follows one that did not serve the request, and logs the decision. */
    decide(result: UnservedResult): RetryDecision {
        const { ingress: { clock }, plan, bodyKept, isBodyUnread } = this.deps;
        const { kind, deadline } = plan();
        const now = clock();
        const decision = decideRetry(
            {
                result,
                kind,
                attempts: this.history.countedAttempts,
                maxAttempts: this.#maxAttempts(),
                redirects: this.history.redirects,
                remainingMs: deadline - now,
                bodyKept: bodyKept || isBodyUnread(),
                needsBudget: this.history.needsBudget,
                quarantineStatus: this.deps.quarantineStatus(),
            },
            this.#retries(),
            now,
        );
        if (decision.why === "budget") {
            this.history.recordBudgetSpent();
        }
        this.logDecision(result, decision);
        return decision;
    }

    logDecision(result: UnservedResult, decision: RetryDecision): void {
        const { ingress: { clock }, plan, log } = this.deps;
        const { attempts, redirects } = this.history;
        const now = clock();
        const budgetLeft = this.#budgetLeft(now);
        log.retryDecided(result, decision, {
            attempts,
            redirects,
            remainingMs: plan().deadline - now,
            budgetLeft,
        });
    }

    /** Returns the time after which a response is overdue, or undefined if the request must not be hedged. */
    hedgeAfterMs(): number | undefined {
        const { ingress: { isHedgingEnabled }, plan, bodyKept, quarantineStatus, requestsBehind } = this.deps;
        const { kind, rule } = plan();
        return decideHedge({
            isEnabled: isHedgingEnabled && quarantineStatus() === "free",
            kind,
            answer: rule.answer,
            bodyKept,
            attempts: this.history.countedAttempts,
            maxAttempts: this.#maxAttempts(),
            afterMs: this.#retries().hedgeDelay.afterMs,
            requestsBehind: requestsBehind(),
        });
    }

    /** Pays for a hedge from the retry budget; returns false if the budget does not allow it. */
    spendForHedge(overdueMs: number, overdue: UpstreamView, target: UpstreamView): boolean {
        const { ingress: { metrics, clock }, plan, log } = this.deps;
        const { budget, allowance } = this.#retries();
        const now = clock();
        if (!budget.spendSurplus(allowance, now)) {
            return false;
        }
        this.history.recordHedge();
        metrics.countRetry(plan().service.name, "hedge");
        log.hedgeSent(overdueMs, overdue, target, this.#budgetLeft(now));
        return true;
    }

    /** Returns the remaining retry budget in repeats, rounded to tenths for log lines. */
    #budgetLeft(now: number): number {
        const { budget, allowance } = this.#retries();
        return Math.round(budget.remaining(allowance, now) * TENTHS_PER_REPEAT) / TENTHS_PER_REPEAT;
    }

    #retries(): Retries {
        return this.deps.ingress.retries(this.deps.plan().service);
    }

    #maxAttempts(): number {
        return this.deps.plan().rule.maxTries ?? defaultMaxAttempts;
    }
}
