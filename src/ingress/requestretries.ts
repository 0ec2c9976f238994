/**
 * Whether and when one request is sent again, as src/policy/retry decides.
 *
 * Owns the history of its attempts, and writes the log line of each decision.
 */
import { AttemptHistory } from "../policy/retry/attempthistory.js";
import { decideHedge } from "../policy/retry/decidehedge.js";
import { decideRetry } from "../policy/retry/decideretry.js";
import { defaultAttempts } from "../policy/retry/defaultattempts.js";
import type { Retries } from "../policy/retry/retries.js";
import type { RetryDecision } from "../policy/retry/retrydecision.js";
import type { IngressParts } from "./ingressparts.js";
import type { Plan } from "./plan.js";
import type { RequestLog } from "./requestlog.js";
import type { Unserved } from "./unserved.js";
import type { UpstreamView } from "./upstreamview.js";

/** What the request lends; its plan may change between attempts. */
type RetryParts = {
    readonly ingress: IngressParts;
    readonly plan: () => Plan;
    /** The body can be sent again. */
    readonly bodyKept: boolean;
    readonly log: RequestLog;
};

/** One for each request; times in milliseconds. */
export class RequestRetries {
    readonly history = new AttemptHistory<UpstreamView>();

    constructor(private readonly parts: RetryParts) {}

    /** Whether another attempt follows one that did not serve the request. */
    decide(result: Unserved): RetryDecision {
        const { ingress: { clock }, plan, bodyKept } = this.parts;
        const { kind, deadline } = plan();
        const decision = decideRetry({
            result,
            kind,
            attempts: this.history.counted,
            maxAttempts: this.#maxAttempts(),
            moves: this.history.moves,
            remainingMs: deadline - clock(),
            bodyKept,
        }, this.#retries().budget);
        this.logDecision(result, decision);
        return decision;
    }

    logDecision(result: Unserved, decision: RetryDecision): void {
        const { ingress: { clock }, plan, log } = this.parts;
        const { attempts, moves } = this.history;
        const { left: budgetLeft } = this.#retries().budget;
        log.decided(result, decision, { attempts, moves, remainingMs: plan().deadline - clock(), budgetLeft });
    }

    /** When the first answer is overdue; undefined where the request must not be sent twice. */
    hedgeAfterMs(): number | undefined {
        const { ingress: { hedge: isEnabled }, plan, bodyKept } = this.parts;
        const { kind, rule } = plan();
        return decideHedge({
            isEnabled,
            kind,
            answer: rule.answer,
            bodyKept,
            attempts: this.history.counted,
            maxAttempts: this.#maxAttempts(),
            afterMs: this.#retries().hedging.afterMs,
        });
    }

    /** Spends what a hedge costs; false when it is not there. */
    payHedge(overdueMs: number, overdue: UpstreamView, target: UpstreamView): boolean {
        const { ingress: { metrics }, plan, log } = this.parts;
        const { budget } = this.#retries();
        if (!budget.spendSurplus()) {
            return false;
        }
        metrics.retried(plan().service.name, "hedge");
        log.hedged(overdueMs, overdue, target, budget.left);
        return true;
    }

    #retries(): Retries {
        return this.parts.ingress.retries(this.parts.plan().service.name);
    }

    #maxAttempts(): number {
        return this.parts.plan().rule.maxTries ?? defaultAttempts;
    }
}
