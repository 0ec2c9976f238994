/**
 * Limits the repeats that one daemon sends to a service, whatever their cause.
 *
 * A repeat is an arrival at an upstream beyond the first of its request: a retry, a hedge, or a call made by a run that
 * was itself a repeat. Budget that is not spent within a window expires, and a new daemon starts without any, so that
 * neither a time of little load nor a series of restarts allows a retry storm. A call of a repeated run is counted but
 * never refused here, since work has already been spent on its request; it reduces what is left for retries.
 */
import { RollingCount } from "../rollingcount.js";
import type { Allowance } from "./allowance.js";

/** Counts the requests and repeats of one service at one daemon. Times are milliseconds on the daemon's clock. */
export class RetryBudget {
    readonly #requests: RollingCount;
    readonly #repeats: RollingCount;

    constructor(windowMs: number) {
        this.#requests = new RollingCount(windowMs);
        this.#repeats = new RollingCount(windowMs);
    }

    /** Records a request that was not caused by a repeat. */
    recordRequest(now: number): void {
        this.#requests.add(now);
    }

    /** Records a repeat that is sent even if it can't be afforded. */
    recordRepeat(now: number): void {
        this.#repeats.add(now);
    }

    /** Returns how many repeats can be afforded, which is negative if calls of repeated runs exceeded the allowance. */
    remaining({ ratio, reserve }: Allowance, now: number): number {
        return ratio * this.#requests.atLeast(now) + reserve - this.#repeats.atMost(now);
    }

    /** Spends one repeat; returns false, and spends nothing, if it can't be afforded. */
    spend(allowance: Allowance, now: number): boolean {
        if (this.remaining(allowance, now) < 1) {
            return false;
        }
        this.recordRepeat(now);
        return true;
    }

    /** Spends one repeat for a hedge, which is optional: the reserve is left for failures. */
    spendSurplus({ ratio }: Allowance, now: number): boolean {
        return this.spend({ ratio, reserve: 0 }, now);
    }
}
