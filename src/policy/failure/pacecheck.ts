/**
 * Is an upstream slow at this moment, so that a request which could go elsewhere should?
 *
 * The question is worth asking for a request with other choices, and for one whose work is so long that it would wait here for a
 * faster moment. A report of the upstream's pace is the present for a while; an older one says nothing, and then the upstream is
 * asked, under a budget.
 */
import { isWorthWaiting } from "../admission/isworthwaiting.js";
import type { Pace } from "./pace.js";

/** What to do: serve the request, send it on, or ask the upstream first. */
type PaceCheck = "serve" | "slow" | "ask";

/** `choices`: other upstreams to which the request could still go; `workMs`: how long its work takes at the usual pace. */
type Checked = { readonly choices: number; readonly workMs: number; };

/** `now` is on the daemon's clock, in milliseconds. */
export function checkPace(pace: Pace, { choices, workMs }: Checked, now: number): PaceCheck {
    const mayWait = isWorthWaiting({ workMs, slowdown: pace.slowdownInSpells, spellMs: pace.spellMs(now) });
    if (choices === 0 && !mayWait) {
        return "serve";
    }
    if (pace.isStale(now)) {
        return "ask";
    }
    return pace.isSlow(now) && choices > 0 ? "slow" : "serve";
}
