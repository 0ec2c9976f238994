/**
 * May one more repeat be afforded? Bounds what one daemon adds to a service's load, whatever makes it.
 *
 * A repeat is an arrival at an upstream beyond the first of its request: a retry, a hedge, or a call of a run that was itself a
 * repeat. What was not spent in a window is not saved, and a start brings nothing: a quiet hour or a row of restarts buys no
 * storm. A call of a repeated run is counted and never refused here: its request has spent work already, so it takes from what
 * retries may have.
 */
import { RollingCount } from "../rollingcount.js";
import type { Allowance } from "./allowance.js";

/** Of one service at one daemon; times are milliseconds on its clock. */
export class RetryBudget {
    readonly #requests: RollingCount;
    readonly #repeats: RollingCount;

    constructor(windowMs: number) {
        this.#requests = new RollingCount(windowMs);
        this.#repeats = new RollingCount(windowMs);
    }

    /** Records a request that is not itself caused by a repeat. */
    recordRequest(now: number): void {
        this.#requests.add(now);
    }

    /** Records a repeat that is sent whether it can be afforded or not. */
    recordRepeat(now: number): void {
        this.#repeats.add(now);
    }

    /** How many repeats can be afforded; below 0 where calls of repeated runs took more than there was. */
    left({ ratio, reserve }: Allowance, now: number): number {
        return ratio * this.#requests.atLeast(now) + reserve - this.#repeats.atMost(now);
    }

    /** Takes one; false when it can't be afforded. */
    spend(allowance: Allowance, now: number): boolean {
        if (this.left(allowance, now) < 1) {
            return false;
        }
        this.recordRepeat(now);
        return true;
    }

    /** Takes one for an attempt that is not needed: the reserve is kept for failures. */
    spendSurplus({ ratio }: Allowance, now: number): boolean {
        return this.spend({ ratio, reserve: 0 }, now);
    }
}
