/** Which upstreams a request has not been sent to and could be. */
import type { Neighbour } from "./neighbour.js";

/** In the order of `all`. */
export function untriedFit(all: readonly Neighbour[], tried: ReadonlySet<Neighbour>, now: number): Neighbour[] {
    return all.filter(neighbour => !tried.has(neighbour) && neighbour.unfit(now) === undefined);
}
