/**
 * May one more repeated run start at an upstream, by what its calls would add to the services that it calls?
 *
 * All calls of a run come in by the daemon beside it, so that daemon knows alone whether its part of each service's bound still has
 * room. Those of repeated runs that are under way may be still to come, and are reckoned with as a whole.
 *
 * Shown by: retrymodel.test.ts, where runs that make two calls break the bound of the called service without it.
 */
import type { ServiceName } from "../../ids/servicename.js";

/** `perRun`: calls a run; `underWay`: repeated runs that have not ended; `left`: repeats of a service that can be afforded here. */
export function canAffordCalls(
    perRun: ReadonlyMap<ServiceName, number>,
    underWay: number,
    left: (service: ServiceName) => number,
): boolean {
    return [...perRun].every(([service, calls]) => left(service) >= calls * (underWay + 1));
}
