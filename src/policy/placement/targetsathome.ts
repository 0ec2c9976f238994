/**
 * Selects the upstreams of the ingress's own region for requests that should not leave it: calls of running requests,
 * hedges, and requests whose body has already crossed in vain.
 *
 * They leave the region only if none of its upstreams is available, whether or not the request was sent to it before.
 */
import type { Regional } from "./regional.js";

/** Returns the targets in the own region if one of them is available at `now`, otherwise all. */
export function targetsAtHome<Target extends Pick<Regional, "availability" | "sameRegion">>(
    all: readonly Target[],
    now: number,
): readonly Target[] {
    const isHomeAvailable = all.some(target => target.sameRegion && target.availability(now) === "available");
    return isHomeAvailable ? all.filter(target => target.sameRegion) : all;
}
