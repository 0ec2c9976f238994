/** For how long has an upstream run how many requests at once? */
import { levelOf } from "./levelof.js";

/** Of one upstream; the present time, in milliseconds, is an argument. */
export class LevelClock {
    readonly #spentMs: Float64Array;
    #level = 0;
    #at: number;

    constructor(private readonly slots: number, now: number) {
        this.#spentMs = new Float64Array(levelOf(slots, slots) + 1);
        this.#at = now;
    }

    /** Records that so many run from now on. */
    setRunning(running: number, now: number): void {
        this.#advance(now);
        this.#level = levelOf(running, this.slots);
    }

    /** Milliseconds by the level of requests that ran. */
    read(now: number): Float64Array {
        this.#advance(now);
        return this.#spentMs.slice();
    }

    #advance(now: number): void {
        this.#spentMs[this.#level]! += Math.max(0, now - this.#at);
        this.#at = now;
    }
}
