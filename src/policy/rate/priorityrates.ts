/**
 * Divides the stated rate limit of a degraded upstream between the priorities of requests.
 *
 * The inputs are the limit in requests a second and the recent arrivals of each priority. Times are milliseconds on the
 * daemon's clock.
 *
 * A priority gets what the more urgent ones leave, by their recent arrivals, and at least a small share, so that none
 * starves. Few requests are queued at such a rate, so the queue alone would serve each priority in proportion to its
 * arrivals.
 */
import type { Priority } from "../../config/priority.js";
import { RollingCount } from "../rollingcount.js";
import { RateLimiter } from "./ratelimiter.js";
import { toRate } from "./torate.js";

const MS_PER_SECOND = 1000;
/** Window over which arrivals are counted; long enough to see some at a few requests a second. */
const ARRIVAL_WINDOW_MS = 2000;
/** Share of the limit that a priority gets in any case. */
const MIN_SHARE = 0.1;
/** Most urgent first. */
const PRIORITIES: readonly Priority[] = ["urgent", "normal", "background"];

/** Tracks the arrivals and the sent requests of each priority at one upstream. */
export class PriorityRates {
    readonly #arrivals = new Map(PRIORITIES.map(priority => [priority, new RollingCount(ARRIVAL_WINDOW_MS)]));
    readonly #limiters = new Map<Priority, RateLimiter>();

    /** Records that a request has arrived at the gate, whether or not it is sent. */
    recordArrival(priority: Priority, now: number): void {
        this.#arrivals.get(priority)!.add(now);
    }

    /** Records that a request is sent while the upstream states a limit of `perSecond`. */
    recordSent(priority: Priority, perSecond: number, now: number): void {
        this.#limiterFor(priority, perSecond, now)?.recordSent(now);
    }

    /** Returns when the next request of the priority may be sent while the upstream states a limit of `perSecond`. */
    nextSendAt(priority: Priority, perSecond: number, now: number): number {
        return this.#limiterFor(priority, perSecond, now)?.sendableAt(1, now) ?? now;
    }

    /** Returns the limiter of the priority, or undefined for the most urgent one, which may use the whole limit. */
    #limiterFor(priority: Priority, perSecond: number, now: number): RateLimiter | undefined {
        const moreUrgent = PRIORITIES.slice(0, PRIORITIES.indexOf(priority));
        if (moreUrgent.length === 0) {
            return undefined;
        }
        const arrivals = moreUrgent.reduce((sum, other) => sum + this.#arrivals.get(other)!.atLeast(now), 0);
        const rate = toRate(Math.max(perSecond * MIN_SHARE, perSecond - arrivals * MS_PER_SECOND / ARRIVAL_WINDOW_MS));
        const existing = this.#limiters.get(priority);
        if (existing === undefined) {
            const created = new RateLimiter(rate);
            this.#limiters.set(priority, created);
            return created;
        }
        existing.setRate(rate, now);
        return existing;
    }
}
