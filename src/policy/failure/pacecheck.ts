/**
 * Is an upstream slow at this moment, so that a request which could go elsewhere should?
 *
 * Only a request with other choices is sent on, so only for it the question is worth asking. A report of the upstream's pace is
 * the present for a while; an older one says nothing, and then the upstream is asked, under a budget.
 */
import type { Pace } from "./pace.js";

/** What to do: serve the request, send it on, or ask the upstream first. */
type PaceCheck = "serve" | "slow" | "ask";

/** `choices`: other upstreams to which the request could still go. */
export function checkPace(pace: Pace, choices: number, now: number): PaceCheck {
    if (choices === 0) {
        return "serve";
    }
    if (pace.isStale(now)) {
        return "ask";
    }
    return pace.isSlow(now) ? "slow" : "serve";
}
