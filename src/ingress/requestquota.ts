/**
 * The tokens of one request: one before the first attempt, and a further one for each attempt that may be another run.
 *
 * Calls of running requests need none, because their request has one. src/quota grants the tokens.
 */
import type { Reason } from "../policy/retry/reason.js";
import type { IngressDependencies } from "./ingressdependencies.js";
import type { Plan } from "./plan.js";
import type { RequestLog } from "./requestlog.js";

/** Longest wait for a token in milliseconds: two counters are asked, and a token that is due soon is waited for. */
const MAX_WAIT_MS = 150;
/** Largest share of the request's time limit for which it waits. */
const MAX_WAIT_SHARE = 0.25;

type Refusal = { readonly outcome: "not-run"; readonly reason: Reason; readonly retryAfterMs: number; };

/** `end` must be called once, after the last attempt. */
export class RequestQuota {
    readonly #isCounted: boolean;
    /** Tokens that no attempt has used. */
    #unused = 0;

    constructor(
        private readonly deps: Pick<IngressDependencies, "quota" | "metrics">,
        private readonly plan: Plan,
        private readonly log: RequestLog,
    ) {
        this.#isCounted = plan.depth === 0;
    }

    /** Returns the result of a request that gets no token, or undefined for one that may be sent. */
    async refusal(): Promise<Refusal | undefined> {
        if (!this.#isCounted) {
            return undefined;
        }
        const { team, deadline, startedAt } = this.plan;
        const maxWaitMs = Math.min(MAX_WAIT_MS, (deadline - startedAt) * MAX_WAIT_SHARE);
        const result = this.deps.quota.acquire(team, maxWaitMs);
        const settled = "then" in result ? await result : result;
        if (settled.type === "token") {
            this.#unused += 1;
            return undefined;
        }
        const { retryAfterMs } = settled;
        const reason = settled.reason === "over-quota" ? "over-quota" : "quota-unknown";
        this.deps.metrics.refusals.countQuotaRefusal(reason);
        this.log.quotaRefused(team, reason, retryAfterMs);
        return { outcome: "not-run", reason, retryAfterMs };
    }

    /** Returns true if another attempt may be sent: a token is unused, or one is at hand. */
    mayAttempt(): boolean {
        if (this.#isCounted && this.#unused === 0 && this.deps.quota.tryAcquire(this.plan.team)) {
            this.#unused += 1;
        }
        return !this.#isCounted || this.#unused > 0;
    }

    /** Takes a token for a hedge, which counts as a run whatever its result is; returns false if none is at hand. */
    takeForHedge(): boolean {
        return !this.#isCounted || this.deps.quota.tryAcquire(this.plan.team);
    }

    /** Records that an attempt has ended; `hasRun` is false only if it provably did not run the request. */
    recordAttempt(hasRun: boolean): void {
        this.#unused -= hasRun && this.#unused > 0 ? 1 : 0;
    }

    /** Returns the token of a request that did not run. */
    end(): void {
        if (this.#unused > 0) {
            this.deps.quota.release(this.plan.team);
        }
    }
}
