/**
 * How fast does an upstream work at this moment, by its own report, and for how long is a report believed?
 *
 * The pace is how many times longer than usual work takes there, 1 as usual. A cold upstream is as slow as its siblings, which
 * were started with it, so an upstream is slow against its own best only. Times are milliseconds on the daemon's clock.
 *
 * Measured: docs/EXPERIMENTS.md, "an upstream is slow against its own best" (SLOW is chosen, not measured).
 */

/** An upstream this many times slower than it has been is worth avoiding: moving a request costs far less. */
const SLOW = 1.5;
/** Work takes as long as usual. */
const USUAL = 1;
/** A report is the present for so long: a tenth of the time between changes of pace at the users' (about 300 ms). */
const BELIEVE_MS = 30;

/** Of one upstream. */
export class Pace {
    #pace = USUAL;
    #best = Infinity;
    #at = -Infinity;
    #known = false;

    /** Records a report that was true at `now`. */
    observe(pace: number, now: number): void {
        this.#pace = pace;
        this.#best = Math.max(USUAL, Math.min(this.#best, pace));
        this.#at = now;
        this.#known = true;
    }

    /** The last report; undefined of an upstream that never reports. */
    get last(): number | undefined {
        return this.#known ? this.#pace : undefined;
    }

    /** True when the upstream reports its pace and the last report is too old to decide by. */
    isStale(now: number): boolean {
        return this.#known && now - this.#at > BELIEVE_MS;
    }

    /** True when the upstream is slow by a report not older than `at`. */
    isSlowSince(at: number): boolean {
        return this.#at >= at && this.#pace >= SLOW * this.#best;
    }

    /** True when the upstream is slow by a report that is still believed. */
    isSlow(now: number): boolean {
        return this.#known && !this.isStale(now) && this.#pace >= SLOW * this.#best;
    }
}
