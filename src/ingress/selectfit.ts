/** Which upstreams a request may be placed on. */
import type { Neighbour } from "./neighbour.js";
import { untriedFit } from "./untriedfit.js";

const NONE: ReadonlySet<Neighbour> = new Set();

/**
 * Those that are fit and not yet tried; or else fit ones that were; or else, so that suspicion alone never empties a
 * service, suspected ones. Draining and leaving ones never.
 */
export function selectFit(all: readonly Neighbour[], tried: ReadonlySet<Neighbour>, now: number): Neighbour[] {
    const fresh = untriedFit(all, tried, now);
    if (fresh.length > 0) {
        return fresh;
    }
    const suspected = all.filter(neighbour => neighbour.unfit(now) === "suspected" && !tried.has(neighbour));
    if (suspected.length > 0) {
        return suspected;
    }
    return untriedFit(all, NONE, now);
}
