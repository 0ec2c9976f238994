/**
 * Decides whether a request is served here, or redirected because the upstream is slow at the moment.
 *
 * The inputs are the upstream's pace, the number of other upstreams that the request could still go to, and its usual
 * service time in milliseconds. The pace matters only to a request with other upstreams, or to one that takes so long
 * that it would wait here until the upstream is faster. If the last report is stale, the upstream is asked for a new
 * one first, within a budget.
 */
import { shouldWaitForPace } from "../admission/shouldwaitforpace.js";
import type { Pace } from "./pace.js";

/**
 * - `serve`: the upstream serves the request.
 * - `slow`: the request is redirected, because the upstream is slow.
 * - `ask`: the upstream is asked for its pace first.
 */
type PaceDecision = "serve" | "slow" | "ask";

/**
 * - `choices`: number of other upstreams that the request could still be sent to.
 * - `workMs`: service time of the request at the usual pace, in milliseconds.
 */
type PaceCheckInput = { readonly choices: number; readonly workMs: number; };

/** Returns what to do with a request at `now`, in milliseconds on the daemon's clock. */
export function checkPace(pace: Pace, { choices, workMs }: PaceCheckInput, now: number): PaceDecision {
    const mayWait = shouldWaitForPace({ workMs, slowdown: pace.lastSlowdown, slowForMs: pace.slowForMs(now) });
    if (choices === 0 && !mayWait) {
        return "serve";
    }
    if (pace.isStale(now)) {
        return "ask";
    }
    return pace.isSlow(now) && choices > 0 ? "slow" : "serve";
}
