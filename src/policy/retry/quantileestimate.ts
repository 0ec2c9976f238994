/** Estimates a quantile of a stream without storing its values (stochastic approximation, Robbins and Monro 1951). */

/** The largest change by one sample, as a share of the estimate. */
const MAX_STEP_SHARE = 0.05;

/** Holds the estimate, in the unit of the samples. */
export class QuantileEstimate {
    #value: number;

    constructor(private readonly quantile: number, initial: number) {
        this.#value = initial;
    }

    get value(): number {
        return this.#value;
    }

    observe(sample: number): void {
        const step = MAX_STEP_SHARE * this.#value;
        this.#value += sample > this.#value ? step * this.quantile : -step * (1 - this.quantile);
    }
}
