/** The ingress's log lines of one request; its gates write lines with the same id. */
import { log } from "../log/log.js";
import type { Arrival } from "../policy/retry/arrival.js";
import { reasonWord } from "../policy/retry/reasonword.js";
import type { RetryDecision } from "../policy/retry/retrydecision.js";
import type { Ending } from "./ending.js";
import type { Plan } from "./plan.js";
import type { Unserved } from "./unserved.js";
import type { UpstreamView } from "./upstreamview.js";

const logger = log("ingress");

/** The state of a request after an attempt; times in milliseconds. */
type Standing = {
    readonly attempts: number;
    readonly moves: number;
    readonly remainingMs: number;
    readonly budgetLeft: number;
};

/** What an attempt is sent with. */
type Placed = {
    readonly id: string;
    readonly choices: number;
    readonly remainingMs: number;
    readonly arrival: Arrival;
};

/** What a request ended with. */
type Ended = {
    readonly outcome: Ending;
    readonly status: number;
    readonly revision: number;
    readonly attempts: number;
    readonly elapsedMs: number;
};

/** `id` is the caller's own id of the request, or winglock's. */
export class RequestLog {
    constructor(private readonly id: string) {}

    placed(target: UpstreamView, { id, choices, remainingMs, arrival }: Placed, now: number): void {
        const { upstream, near, outstanding, report, reportAt } = target;
        logger.decision(this.id, "The request is placed.", {
            try: id,
            upstream,
            near,
            own: outstanding,
            report,
            reportAgeMs: report === undefined ? undefined : Math.round(now - reportAt),
            choices,
            arrival,
            remainingMs: Math.round(remainingMs),
        });
    }

    hedged(afterMs: number, overdue: UpstreamView, target: UpstreamView, budgetLeft: number): void {
        logger.decision(this.id, "The answer is overdue; the request is also sent elsewhere.", {
            afterMs,
            overdue: overdue.upstream,
            upstream: target.upstream,
            budgetLeft,
        });
    }

    decided(result: Unserved, { again, why }: RetryDecision, standing: Standing): void {
        logger.failure(this.id, again ? "The attempt failed; another follows." : "The attempt failed.", {
            outcome: result.outcome,
            reason: reasonWord(result),
            why,
            tries: standing.attempts,
            redirects: standing.moves,
            remainingMs: Math.round(standing.remainingMs),
            budgetLeft: standing.budgetLeft,
        });
    }

    brokeOff(err: unknown, target?: UpstreamView): void {
        logger.warn("An answer broke off.", err, { id: this.id, upstream: target?.upstream });
    }

    unmatched(host: string | undefined, path: string, revision: number): void {
        logger.failure(this.id, "No rule matches.", { host, path, revision });
    }

    unconfigured(): void {
        logger.failure(this.id, "No configuration is known yet.", {});
    }

    ended({ rule, kind, service, startedAt, deadline }: Plan, ended: Ended): void {
        const { outcome, status, revision, attempts, elapsedMs } = ended;
        logger[outcome === "served" ? "decision" : "failure"](this.id, "The request has ended.", {
            outcome,
            status,
            rule: rule.name,
            kind,
            service: service.name,
            revision,
            tries: attempts,
            ms: Math.round(elapsedMs),
            limitMs: Math.round(deadline - startedAt),
        });
    }
}
