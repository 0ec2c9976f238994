/** Tracks the long-term mean of a series of samples. */

/** Approximate number of remembered samples: a few minutes of a busy rule. */
const MAX_SAMPLES = 3000;

/** The arithmetic mean of the first samples, then an exponential moving average. */
export class LongTermMean {
    #count = 0;
    #mean = 0;

    /** The mean, or undefined before the first sample. */
    get value(): number | undefined {
        return this.#count === 0 ? undefined : this.#mean;
    }

    observe(sample: number): void {
        this.#count = Math.min(MAX_SAMPLES, this.#count + 1);
        this.#mean += (sample - this.#mean) / this.#count;
    }
}
