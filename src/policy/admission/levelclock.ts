/** Measures for how long each concurrency level was in force at an upstream. */
import { levelOf } from "./levelof.js";

/** Accumulates the time of one upstream. `now` is the present time in milliseconds. */
export class LevelClock {
    readonly #elapsedMs: Float64Array;
    #level = 0;
    #updatedAt: number;

    constructor(private readonly slots: number, now: number) {
        this.#elapsedMs = new Float64Array(levelOf(slots, slots) + 1);
        this.#updatedAt = now;
    }

    /** Records that the level of `concurrency` requests is in force from now on. */
    setConcurrency(concurrency: number, now: number): void {
        this.#advance(now);
        this.#level = levelOf(concurrency, this.slots);
    }

    /** Returns the milliseconds spent so far at each level; the index is the level. */
    read(now: number): Float64Array {
        this.#advance(now);
        return this.#elapsedMs.slice();
    }

    #advance(now: number): void {
        this.#elapsedMs[this.#level]! += Math.max(0, now - this.#updatedAt);
        this.#updatedAt = now;
    }
}
