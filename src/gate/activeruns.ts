/** What runs at one upstream. */
import type { RequestKey } from "../ids/requestkey.js";
import type { UpstreamRun } from "./upstreamrun.js";

/** Counts since the gate was made. */
export class ActiveRuns {
    readonly #runs = new Set<UpstreamRun>();
    #finishedCount = 0;

    get finished(): number {
        return this.#finishedCount;
    }

    /** Those that are not the first of their request. */
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

    /** Has each given up that has no answer so long after its start. */
    abortUnanswered(afterMs: number): void {
        this.#runs.forEach(run => run.abortIfUnanswered(afterMs));
    }

    /** Calls off the runs of a request. */
    cancel(request: RequestKey): void {
        this.#runs.forEach(run => run.key === request && run.cancel());
    }

    /** How long what runs has run, on average; 0 while nothing runs. */
    meanAgeMs(now: number): number {
        let sumMs = 0;
        for (const run of this.#runs) {
            sumMs += run.ageMs(now);
        }
        return this.#runs.size === 0 ? 0 : sumMs / this.#runs.size;
    }
}
