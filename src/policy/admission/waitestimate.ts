/**
 * Estimates how long a request is queued at one upstream, and when a refused request should be retried.
 *
 * The inputs are the request's position in the queue (1 is the first), the upstream's limit of concurrent requests, its
 * service times and the rate at which it may be sent requests. Times are milliseconds on the gate's clock.
 */
import type { Priority } from "../../config/priority.js";
import type { RuleName } from "../../ids/rulename.js";
import type { SendRate } from "../rate/sendrate.js";
import type { RuleTimes } from "./ruletimes.js";
import type { SlotLimit } from "./slotlimit.js";

/**
 * Share of the mean service time added to a retry-after: right after the expected wait the queue is mostly not empty.
 */
const RETRY_MARGIN_SHARE = 0.5;

/** Estimates waits at one upstream from its limit, service times and send rate. */
export class WaitEstimate {
    constructor(
        private readonly limit: SlotLimit,
        private readonly times: RuleTimes,
        private readonly sendRate: SendRate,
    ) {}

    /** Returns the expected wait of the request at this position, in milliseconds. */
    waitMs(position: number, now: number): number {
        const slotWaitMs = position * this.times.all.recentMs / this.limit.current();
        return Math.max(slotWaitMs, this.rateWaitMs(position, now));
    }

    /** Returns the part of that wait that is due to the upstream's request rate, in milliseconds. */
    rateWaitMs(position: number, now: number): number {
        return Math.max(0, this.sendRate.sendableAt(position, now) - now);
    }

    /** Returns the milliseconds until this priority may send, given what more urgent ones leave of a rate limit. */
    priorityWaitMs(priority: Priority, now: number): number {
        return Math.max(0, this.sendRate.sendableForPriorityAt(priority, now) - now);
    }

    /** Returns the retry-after in milliseconds of a refused request of the rule that would have waited `waitMs`. */
    retryAfterMs(rule: RuleName | undefined, waitMs: number): number {
        return Math.ceil(waitMs + this.times.meanServiceMs(rule) * RETRY_MARGIN_SHARE);
    }
}
