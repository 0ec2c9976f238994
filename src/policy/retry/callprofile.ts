/**
 * Estimates how often each run of an upstream calls each other service.
 *
 * With the estimate, a repeated run can be refused before it starts when its calls would exceed the repeats that the
 * called services may still get.
 */
import type { ServiceName } from "../../ids/servicename.js";

/** Weight of the newest run in the moving average, so that it covers about ten runs. */
const NEWEST_RUN_WEIGHT = 0.1;
/** Averages below this are dropped: a thousandth of a repeat for each run is no noticeable load. */
const MIN_CALLS_PER_RUN = 0.001;

/** Holds the averages of one upstream. */
export class CallProfile {
    readonly #callsPerRun = new Map<ServiceName, number>();

    /** The average number of calls in a run, for each service that recent runs have called. */
    get callsPerRun(): ReadonlyMap<ServiceName, number> {
        return this.#callsPerRun;
    }

    /** Records the number of calls that a finished run made to each service. */
    observe(callCounts: ReadonlyMap<ServiceName, number>): void {
        for (const [service, mean] of this.#callsPerRun) {
            this.#updateMean(service, mean, callCounts.get(service) ?? 0);
        }
        for (const [service, count] of callCounts) {
            if (!this.#callsPerRun.has(service)) {
                this.#callsPerRun.set(service, count);
            }
        }
    }

    #updateMean(service: ServiceName, mean: number, count: number): void {
        const updated = mean + NEWEST_RUN_WEIGHT * (count - mean);
        if (updated < MIN_CALLS_PER_RUN) {
            this.#callsPerRun.delete(service);
            return;
        }
        this.#callsPerRun.set(service, updated);
    }
}
