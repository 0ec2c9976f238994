/** Tracks the runs in flight at one upstream. */
import type { RequestKey } from "../ids/requestkey.js";
import type { UpstreamRun } from "./upstreamrun.js";

/** Holds the runs in flight, and counts those that have finished since the gate was created. */
export class ActiveRuns {
    readonly #runs = new Set<UpstreamRun>();
    #finishedCount = 0;

    get finishedCount(): number {
        return this.#finishedCount;
    }

    /** Number of runs in flight that are repeats. */
    get repeatCount(): number {
        return [...this.#runs].filter(run => run.isRepeat).length;
    }

    add(run: UpstreamRun): void {
        this.#runs.add(run);
    }

    remove(run: UpstreamRun): void {
        this.#runs.delete(run);
        this.#finishedCount += 1;
    }

    /** Aborts each run that has no response `afterMs` milliseconds after its start. */
    abortUnanswered(afterMs: number): void {
        this.#runs.forEach(run => run.abortIfUnanswered(afterMs));
    }

    /** Aborts the runs of a request, unless it may run only once. */
    cancel(request: RequestKey): void {
        this.#runs.forEach(run => run.key === request && run.cancel());
    }

    /** Returns how long the runs in flight have taken so far on average, in milliseconds; 0 if there is none. */
    meanAgeMs(now: number): number {
        let sumMs = 0;
        for (const run of this.#runs) {
            sumMs += run.ageMs(now);
        }
        return this.#runs.size === 0 ? 0 : sumMs / this.#runs.size;
    }
}
