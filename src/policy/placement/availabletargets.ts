/** Selects the available upstreams that a request has not been sent to. */
import type { Selectable } from "./selectable.js";

/** Returns the targets that are available at `now` and not in `attempted`, in the order of `all`. */
export function availableTargets<Target extends Selectable>(
    all: readonly Target[],
    attempted: ReadonlySet<Target>,
    now: number,
): Target[] {
    return all.filter(target => !attempted.has(target) && target.availability(now) === "available");
}
