/**
 * Whether and when one request is sent again, as src/policy/retry decides.
 *
 * Owns the history of its attempts, and writes the log line of each decision.
 */
import type { Standing } from "../policy/quarantine/standing.js";
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

/** Of a repeat. */
const TENTHS = 10;

/** What the request lends; its plan may change between attempts. */
type RetryParts = {
    readonly ingress: IngressParts;
    readonly plan: () => Plan;
    /** The body can be sent again. */
    readonly bodyKept: boolean;
    readonly standing: () => Standing;
    readonly log: RequestLog;
};

/** One for each request; times in milliseconds. */
export class RequestRetries {
    readonly history = new AttemptHistory<UpstreamView>();

    constructor(private readonly parts: RetryParts) {}

    /** Records that the request has come, as what it is to the budget of its service. */
    begin(): void {
        const { ingress: { clock }, plan } = this.parts;
        const { budget } = this.#retries();
        if (plan().arrival === "call") {
            budget.recordRepeat(clock());
        }
        else {
            budget.recordRequest(clock());
        }
    }

    /** Whether another attempt follows one that did not serve the request. */
    decide(result: Unserved): RetryDecision {
        const { ingress: { clock }, plan, bodyKept } = this.parts;
        const { kind, deadline } = plan();
        const now = clock();
        const decision = decideRetry(
            {
                result,
                kind,
                attempts: this.history.counted,
                maxAttempts: this.#maxAttempts(),
                moves: this.history.moves,
                remainingMs: deadline - now,
                bodyKept,
                owes: this.history.owes,
                standing: this.parts.standing(),
            },
            this.#retries(),
            now,
        );
        if (decision.why === "budget") {
            this.history.pay();
        }
        this.logDecision(result, decision);
        return decision;
    }

    logDecision(result: Unserved, decision: RetryDecision): void {
        const { ingress: { clock }, plan, log } = this.parts;
        const { attempts, moves } = this.history;
        const now = clock();
        const budgetLeft = this.#budgetLeft(now);
        log.decided(result, decision, { attempts, moves, remainingMs: plan().deadline - now, budgetLeft });
    }

    /** When the first answer is overdue; undefined where the request must not be sent twice. */
    hedgeAfterMs(): number | undefined {
        const { ingress: { hedge: isEnabled }, plan, bodyKept, standing } = this.parts;
        const { kind, rule } = plan();
        return decideHedge({
            isEnabled: isEnabled && standing() === "free",
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
        const { ingress: { metrics, clock }, plan, log } = this.parts;
        const { budget, allowance } = this.#retries();
        const now = clock();
        if (!budget.spendSurplus(allowance, now)) {
            return false;
        }
        this.history.hedge();
        metrics.retried(plan().service.name, "hedge");
        log.hedged(overdueMs, overdue, target, this.#budgetLeft(now));
        return true;
    }

    /** In tenths, for log lines. */
    #budgetLeft(now: number): number {
        const { budget, allowance } = this.#retries();
        return Math.round(budget.left(allowance, now) * TENTHS) / TENTHS;
    }

    #retries(): Retries {
        return this.parts.ingress.retries(this.parts.plan().service);
    }

    #maxAttempts(): number {
        return this.parts.plan().rule.maxTries ?? defaultAttempts;
    }
}
