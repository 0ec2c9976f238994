/**
 * Decides whether an upstream is slow at the moment, by how much and for how much longer.
 *
 * The inputs are the upstream's own reports of its pace: its present service time relative to its usual one, 1 as
 * usual. A report counts for a short time only. An upstream is compared with its own best pace only, because a cold
 * upstream is as slow as its siblings, which were started with it. Times are milliseconds on the daemon's clock.
 */

/** Ratio to its best pace from which an upstream is slow; redirecting a request costs far less than such a slowdown. */
const SLOW_RATIO = 1.5;
/** Pace at which service times are as usual. */
const USUAL_PACE = 1;
/** A report is stale after a tenth of the time between changes of pace at the users' upstreams (about 300 ms). */
const MAX_REPORT_AGE_MS = 30;
/** Length of a slow period that is assumed before one was observed, in the order of those at the users' upstreams. */
const INITIAL_SLOW_PERIOD_MS = 150;
/** Weight of the newest slow period in the moving average, which covers about the last ten. */
const NEWEST_WEIGHT = 0.1;
/** Slow periods with a longer time between two reports are not used for the moving average. */
const MAX_REPORT_GAP_MS = 100;

/** Holds the reported pace of one upstream. */
export class Pace {
    #pace = USUAL_PACE;
    #bestPace = Infinity;
    #reportedAt = -Infinity;
    #hasReported = false;
    /** Time at which the current slow period began; undefined if the last report was not slow. */
    #slowSince: number | undefined;
    /** True if reports came without a gap since before the current slow period began. */
    #isFullyObserved = false;
    #meanSlowPeriodMs = INITIAL_SLOW_PERIOD_MS;
    #lastSlowdown = USUAL_PACE;

    /** Records the pace that the upstream reported at `now`. */
    observe(pace: number, now: number): void {
        this.#pace = pace;
        this.#bestPace = Math.max(USUAL_PACE, Math.min(this.#bestPace, pace));
        this.#observeSlowPeriod(now);
        this.#reportedAt = now;
        this.#hasReported = true;
    }

    /**
     * Returns how much longer a slow upstream is expected to stay slow, in milliseconds: the mean length of slow
     * periods, or the time that the current one has lasted if that is longer. So requests wait for the end of a short
     * period, but use an upstream that stays slow.
     */
    slowForMs(now: number): number {
        return Math.max(this.#meanSlowPeriodMs, now - (this.#slowSince ?? now));
    }

    /** Ratio of the pace to the best one at the last slow report; 1 if there was none. */
    get lastSlowdown(): number {
        return this.#lastSlowdown;
    }

    /**
     * Returns the ratio of the current pace to the best one if the upstream is slow by a fresh report, and 1 otherwise.
     */
    slowdown(now: number): number {
        return this.isSlow(now) ? this.#pace / this.#bestPace : USUAL_PACE;
    }

    /** Pace that was last reported; undefined if the upstream has not reported any. */
    get lastReported(): number | undefined {
        return this.#hasReported ? this.#pace : undefined;
    }

    /** Returns true if the upstream reports its pace and the last report is stale. */
    isStale(now: number): boolean {
        return this.#hasReported && now - this.#reportedAt > MAX_REPORT_AGE_MS;
    }

    /** Returns true if the upstream is slow by a report received at `since` or later. */
    isSlowSince(since: number): boolean {
        return this.#reportedAt >= since && this.#pace >= SLOW_RATIO * this.#bestPace;
    }

    #observeSlowPeriod(now: number): void {
        const isSlow = this.#pace >= SLOW_RATIO * this.#bestPace;
        this.#isFullyObserved = now - this.#reportedAt <= MAX_REPORT_GAP_MS
            && (this.#slowSince === undefined || this.#isFullyObserved);
        if (isSlow) {
            this.#lastSlowdown = this.#pace / this.#bestPace;
            this.#slowSince ??= now;
            return;
        }
        if (this.#slowSince !== undefined && this.#isFullyObserved) {
            this.#meanSlowPeriodMs += NEWEST_WEIGHT * (now - this.#slowSince - this.#meanSlowPeriodMs);
        }
        this.#slowSince = undefined;
    }

    /** Returns true if the upstream is slow by a fresh report. */
    isSlow(now: number): boolean {
        return this.#hasReported && !this.isStale(now) && this.#pace >= SLOW_RATIO * this.#bestPace;
    }
}
