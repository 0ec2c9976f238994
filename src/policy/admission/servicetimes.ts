/** Tracks the recent and the usual service time of an upstream. */

/** Weight of the newest time in the recent mean, which covers about the last five. */
const RECENT_WEIGHT = 0.2;
/** Weight of the newest time in the baseline, which covers about the last hundred. */
const BASELINE_WEIGHT = 0.01;
/** Samples over which the baseline is at first an arithmetic mean, so that the very first does not dominate it. */
const WARM_UP_SAMPLES = 1 / BASELINE_WEIGHT;
/** Assumed before the first response; the same as placement assumes. */
const INITIAL_MS = 5;

/** Keeps two moving averages of service times, in milliseconds: a recent mean and a slowly changing baseline. */
export class ServiceTimes {
    #count = 0;
    #recentMs = INITIAL_MS;
    #baselineMs = INITIAL_MS;

    get recentMs(): number {
        return this.#recentMs;
    }

    get baselineMs(): number {
        return this.#baselineMs;
    }

    observe(serviceMs: number): void {
        this.#count = Math.min(this.#count + 1, WARM_UP_SAMPLES);
        const baselineWeight = Math.max(BASELINE_WEIGHT, 1 / this.#count);
        const recentWeight = Math.max(RECENT_WEIGHT, 1 / this.#count);
        this.#baselineMs += baselineWeight * (serviceMs - this.#baselineMs);
        this.#recentMs += recentWeight * (serviceMs - this.#recentMs);
    }
}
