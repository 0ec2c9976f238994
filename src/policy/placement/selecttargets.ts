/**
 * Which upstreams may a request be placed on?
 *
 * Available ones that it has not been sent to; or else suspected ones, so that suspicion alone never empties a service; or else
 * available ones that it has been sent to, which may take it by now; or else full, cold and limited ones. Draining, leaving and evacuated ones never.
 */
import type { Availability } from "./availability.js";
import { availableOf } from "./availableof.js";
import type { Selectable } from "./selectable.js";

/** They take something now and then. */
const lastResort: ReadonlySet<Availability> = new Set(["full", "cold", "limited"]);

/** Empty when no upstream may be sent the request now. */
export function selectTargets<Target extends Selectable>(
    all: readonly Target[],
    tried: ReadonlySet<Target>,
    now: number,
): Target[] {
    const untried = availableOf(all, tried, now);
    if (untried.length > 0) {
        return untried;
    }
    const suspected = all.filter(target => !tried.has(target) && target.availability(now) === "suspected");
    if (suspected.length > 0) {
        return suspected;
    }
    const available = availableOf(all, new Set(), now);
    return available.length > 0 ? available : all.filter(target => lastResort.has(target.availability(now)));
}
