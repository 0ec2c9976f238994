/**
 * Decides on which upstreams a request may be placed, from their availability and from those it was already sent to.
 *
 * The first of these groups that is not empty is used:
 * 1. available upstreams that the request has not been sent to;
 * 2. suspected ones that it has not been sent to, so that suspicion alone never leaves a service without upstreams;
 * 3. available ones that it has been sent to, which may accept it now;
 * 4. full, cold and limited ones.
 * Draining, leaving and evacuated upstreams are never used.
 */
import type { Availability } from "./availability.js";
import { availableTargets } from "./availabletargets.js";
import type { Selectable } from "./selectable.js";

/** Upstreams that refuse most requests but still accept some. */
const lastResort: ReadonlySet<Availability> = new Set(["full", "cold", "limited"]);

/** Returns the targets for the next attempt; empty if no upstream may be sent the request at `now`. */
export function selectTargets<Target extends Selectable>(
    all: readonly Target[],
    attempted: ReadonlySet<Target>,
    now: number,
): Target[] {
    const unattempted = availableTargets(all, attempted, now);
    if (unattempted.length > 0) {
        return unattempted;
    }
    const suspected = all.filter(target => !attempted.has(target) && target.availability(now) === "suspected");
    if (suspected.length > 0) {
        return suspected;
    }
    const available = availableTargets(all, new Set(), now);
    return available.length > 0 ? available : all.filter(target => lastResort.has(target.availability(now)));
}
