/**
 * Measures how long an upstream has worked on a request at each concurrency level.
 *
 * Excludes the time of the calls that the upstream makes for the request: it does not work on the request meanwhile,
 * and their duration does not depend on its own load.
 */
import type { LevelClock } from "./levelclock.js";

/** Measures the work on one running request, which may make several calls at a time. */
export class WorkTime {
    readonly #startReading: Float64Array;
    #openCalls = 0;
    #pausedReading: Float64Array | undefined;

    constructor(private readonly clock: LevelClock, now: number) {
        this.#startReading = clock.read(now);
    }

    callBegan(now: number): void {
        this.#openCalls += 1;
        this.#pausedReading ??= this.clock.read(now);
    }

    callEnded(now: number): void {
        this.#openCalls -= 1;
        if (this.#openCalls === 0 && this.#pausedReading !== undefined) {
            const resumedReading = this.clock.read(now);
            this.#pausedReading.forEach((ms, level) => this.#startReading[level]! += resumedReading[level]! - ms);
            this.#pausedReading = undefined;
        }
    }

    /** Returns the milliseconds worked so far at each level; the index is the level. */
    read(now: number): Float64Array {
        const endReading = this.#pausedReading ?? this.clock.read(now);
        return endReading.map((ms, level) => ms - this.#startReading[level]!);
    }
}
