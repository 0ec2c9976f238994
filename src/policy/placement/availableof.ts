/** Which upstreams has a request not been sent to, and could be? */
import type { Selectable } from "./selectable.js";

/** In the order of `all`. */
export function availableOf<Target extends Selectable>(
    all: readonly Target[],
    tried: ReadonlySet<Target>,
    now: number,
): Target[] {
    return all.filter(target => !tried.has(target) && target.availability(now) === "available");
}
