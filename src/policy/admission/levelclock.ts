/** Measures for how long an upstream has run at each concurrency level. */
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

    /** Records that `running` requests run from now on. */
    setRunning(running: number, now: number): void {
        this.#advance(now);
        this.#level = levelOf(running, this.slots);
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
