/**
 * Decides whether one more repeated run may start at an upstream, by the repeats that its calls add to other services.
 *
 * All calls of a run pass through the daemon beside its upstream, so this daemon alone knows whether its part of each
 * service's bound has room for them. Repeated runs in progress may still have all their calls to make, so each counts
 * in full.
 *
 * Tested by retrymodel.test.ts: without this check, runs that make two calls exceed the bound of the called service.
 */
import type { ServiceName } from "../../ids/servicename.js";

/**
 * Returns true if the calls of all repeated runs, the new one included, can be afforded.
 *
 * `callsPerRun` is the average number of calls in a run, by service. `repeatedRuns` is the number of repeated runs in
 * progress. `repeatsLeft` returns how many repeats this daemon may still send to a service.
 */
export function canAffordCalls(
    callsPerRun: ReadonlyMap<ServiceName, number>,
    repeatedRuns: number,
    repeatsLeft: (service: ServiceName) => number,
): boolean {
    return [...callsPerRun].every(([service, calls]) => repeatsLeft(service) >= calls * (repeatedRuns + 1));
}
