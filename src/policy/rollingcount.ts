/** Counts events in a sliding window. Counts are kept by step, so that the memory does not depend on the rate. */

/** Steps in a window, so that the start of the window is exact to a twentieth. */
const STEPS_PER_WINDOW = 20;

/** Counts the events of one kind. Times are milliseconds on the daemon's clock. */
export class RollingCount {
    /** Counts by step; one step more than in a window, since the oldest lies only partly in it. */
    readonly #counts = new Float64Array(STEPS_PER_WINDOW + 1);
    readonly #stepMs: number;
    #currentStep = 0;

    constructor(windowMs: number) {
        this.#stepMs = windowMs / STEPS_PER_WINDOW;
    }

    /** Counts an event at `now`. */
    add(now: number): void {
        const step = this.#advanceTo(now);
        this.#counts[step % this.#counts.length]! += 1;
    }

    /** Returns an upper bound: the whole oldest step is included, although a part of it may lie outside the window. */
    atMost(now: number): number {
        this.#advanceTo(now);
        return this.#counts.reduce((sum, count) => sum + count, 0);
    }

    /** Returns a lower bound: the oldest step is left out, although a part of it may lie in the window. */
    atLeast(now: number): number {
        const step = this.#advanceTo(now);
        return this.atMost(now) - this.#counts[(step + 1) % this.#counts.length]!;
    }

    /** Clears the steps that have left the window; returns the current step. */
    #advanceTo(now: number): number {
        const step = Math.floor(now / this.#stepMs);
        const newSteps = Math.min(step - this.#currentStep, this.#counts.length);
        for (let back = 0; back < newSteps; back++) {
            this.#counts[(step - back) % this.#counts.length] = 0;
        }
        this.#currentStep = Math.max(this.#currentStep, step);
        return this.#currentStep;
    }
}
