/** Writes the ingress's log lines of one request; the gates that it is sent to log the same id. */
import { fingerprintOf } from "../config/fingerprintof.js";
import type { RuleName } from "../ids/rulename.js";
import type { TeamName } from "../ids/teamname.js";
import { log } from "../log/log.js";
import type { AccessRefusalReason } from "../policy/access/accessrefusalreason.js";
import type { PresentedKey } from "../policy/access/presentedkey.js";
import type { Arrival } from "../policy/retry/arrival.js";
import { reasonLabel } from "../policy/retry/reasonlabel.js";
import type { RetryDecision } from "../policy/retry/retrydecision.js";
import type { Plan } from "./plan.js";
import type { RequestOutcome } from "./requestoutcome.js";
import type { UnservedResult } from "./unservedresult.js";
import type { UpstreamView } from "./upstreamview.js";

const logger = log("ingress");

/** The state of a request after an attempt; times in milliseconds. */
type RetryState = {
    readonly attempts: number;
    readonly redirects: number;
    readonly remainingMs: number;
    readonly budgetLeft: number;
};

/** The fields of an attempt that are logged when it is sent; times in milliseconds. */
type SentAttempt = {
    readonly id: string;
    readonly choices: number;
    readonly remainingMs: number;
    readonly arrival: Arrival;
};

/** The fields that are logged when a request ends; `elapsedMs` is in milliseconds since its arrival. */
type EndedRequest = {
    readonly outcome: RequestOutcome;
    /** Undefined if no response was begun. */
    readonly status: number | undefined;
    readonly revision: number;
    readonly attempts: number;
    readonly elapsedMs: number;
    /** The longest time for which the request can have been unread when it was read. */
    readonly maxUnreadMs: number;
    /** Times on the daemon's clock at which the end of the caller's connection was read, and at which it closed. */
    readonly endReadAt: number | undefined;
    readonly closedAt: number | undefined;
};

/** A shorter time is less than what the intervals of the event loop's monitor can show. */
const MIN_LOGGED_UNREAD_MS = 100;

/** `id` is the caller's id of the request, or winglock's where callers give none. */
export class RequestLog {
    constructor(private readonly id: string) {}

    noBodyMemory(bytes: number, heldBytes: number): void {
        logger.failure(this.id, "Refused a request: there is no memory for its body.", { bytes, heldBytes });
    }

    /** `why`: its deadline has passed, or other bodies needed the memory. */
    bodyUnfinished(why: "deadline" | "evicted", receivedBytes: number): void {
        logger.failure(this.id, "Refused a request: its body is unfinished.", { why, receivedBytes });
    }

    attemptSent(target: UpstreamView, { id, choices, remainingMs, arrival }: SentAttempt, now: number): void {
        const { upstream, sameHall, sameRegion, region, roundTripMs, outstanding, report, reportedAt } = target;
        logger.decision(this.id, "The request is sent to an upstream.", {
            try: id,
            upstream,
            near: sameHall,
            region: sameRegion ? undefined : region,
            roundTripMs: sameRegion ? undefined : Math.round(roundTripMs),
            own: outstanding,
            report,
            reportAgeMs: report === undefined ? undefined : Math.round(now - reportedAt),
            choices,
            arrival,
            remainingMs: Math.round(remainingMs),
        });
    }

    hedgeSent(afterMs: number, overdue: UpstreamView, target: UpstreamView, budgetLeft: number): void {
        logger.decision(this.id, "The response is overdue; a hedge is sent to another upstream.", {
            afterMs,
            overdue: overdue.upstream,
            upstream: target.upstream,
            budgetLeft,
        });
    }

    retryDecided(result: UnservedResult, { again, why }: RetryDecision, state: RetryState): void {
        logger.failure(
            this.id,
            again ? "The attempt failed; another one follows." : "The attempt failed; no other one follows.",
            {
                outcome: result.outcome,
                reason: reasonLabel(result),
                why,
                tries: state.attempts,
                redirects: state.redirects,
                remainingMs: Math.round(state.remainingMs),
                budgetLeft: state.budgetLeft,
            },
        );
    }

    responseBroken(err: unknown, target?: UpstreamView): void {
        logger.warn("A response broke off before it was complete.", err, { id: this.id, upstream: target?.upstream });
    }

    noRuleMatched(host: string | undefined, path: string, revision: number): void {
        logger.failure(this.id, "No rule matches the request; it is refused.", { host, path, revision });
    }

    quotaRefused(team: TeamName, reason: string, retryAfterMs: number): void {
        logger.failure(this.id, "The team's quota does not allow the request; it is refused.", {
            team,
            reason,
            retryAfterMs: Math.round(retryAfterMs),
        });
    }

    runCancelled(): void {
        logger.failure(this.id, "The run during which the call was made has been cancelled; the call is refused.", {});
    }

    callCancelled(): void {
        logger.failure(this.id, "The run during which the call was made has been cancelled; the call is ended.", {});
    }

    noConfiguration(): void {
        logger.failure(this.id, "The daemon has no configuration yet; the request is refused.", {});
    }

    /** `remainingMs` is the time that the request has, `limitMs` the time until the stop cuts off requests. */
    refusedByStop(remainingMs: number, limitMs: number): void {
        logger.failure(this.id, "The daemon is stopping and could not finish the request; it is refused.", {
            remainingMs: Math.round(remainingMs),
            limitMs: Math.round(limitMs),
        });
    }

    /** `configurationAgeMs` is the time since the configuration was last confirmed, in milliseconds. */
    accessRefused(reason: AccessRefusalReason, key: PresentedKey, rule: RuleName, configurationAgeMs: number): void {
        logger.failure(this.id, "The request is refused because of its key.", {
            reason,
            key: key.type === "digest" ? fingerprintOf(key.digest) : key.type,
            rule,
            configurationAgeMs,
        });
    }

    requestEnded({ rule, kind, service, team, priority, startedAt, deadline }: Plan, ended: EndedRequest): void {
        const { outcome, status, revision, attempts, elapsedMs, maxUnreadMs, endReadAt, closedAt } = ended;
        const hasLeft = outcome === "left";
        const sinceStart = (time: number | undefined): number | undefined =>
            !hasLeft || time === undefined ? undefined : Math.round(time - startedAt);
        logger[outcome === "served" ? "decision" : "failure"](this.id, "The request has ended.", {
            outcome,
            status,
            rule: rule.name,
            kind,
            service: service.name,
            team,
            priority,
            revision,
            tries: attempts,
            ms: Math.round(elapsedMs),
            limitMs: Math.round(deadline - startedAt),
            unreadMs: maxUnreadMs < MIN_LOGGED_UNREAD_MS ? undefined : Math.round(maxUnreadMs),
            endReadAfterMs: sinceStart(endReadAt),
            closedAfterMs: sinceStart(closedAt),
        });
    }
}
