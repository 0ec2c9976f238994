/** How often has something happened in the last window? Counted in steps, so that it takes the same memory at any rate. */

/** Steps of a window: its end is known to a twentieth. */
const STEPS = 20;

/** Times are milliseconds on the daemon's clock. */
export class RollingCount {
    /** By step, one more than a window has: the oldest lies in the window in part. */
    readonly #counts = new Float64Array(STEPS + 1);
    readonly #stepMs: number;
    #newest = 0;

    constructor(windowMs: number) {
        this.#stepMs = windowMs / STEPS;
    }

    add(now: number): void {
        const step = this.#moveTo(now);
        this.#counts[step % this.#counts.length]! += 1;
    }

    /** All of the window, and what of the oldest step may lie outside. */
    atMost(now: number): number {
        this.#moveTo(now);
        return this.#counts.reduce((sum, count) => sum + count, 0);
    }

    /** Without the oldest step, a part of which may lie outside the window. */
    atLeast(now: number): number {
        const step = this.#moveTo(now);
        return this.atMost(now) - this.#counts[(step + 1) % this.#counts.length]!;
    }

    /** Forgets the steps that are over; returns the present one. */
    #moveTo(now: number): number {
        const step = Math.floor(now / this.#stepMs);
        const passed = Math.min(step - this.#newest, this.#counts.length);
        for (let back = 0; back < passed; back++) {
            this.#counts[(step - back) % this.#counts.length] = 0;
        }
        this.#newest = Math.max(this.#newest, step);
        return this.#newest;
    }
}
