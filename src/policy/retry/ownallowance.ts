/**
 * What part of the bound on repeats is one daemon's own, so that all daemons keep it without a word between them?
 *
 * Half of the ratio: each daemon counts back from its own last repeat, so that its requests lie in two windows of the bound.
 * Half of the slack, divided by the daemons: a host that lost its daemon in a window may have spent the part of two lives there.
 * A daemon's part of the slack grows with its age up to one window, so that a row of short lives gets no more than one
 * long one.
 *
 * Shown by: retrymodel.test.ts (daemons, restarts, calls, rising and falling load).
 */
import type { Allowance } from "./allowance.js";
import type { RepeatBound } from "./repeatbound.js";

/** Of the ratio and of the slack, for the reasons above. */
const OWN_SHARE = 0.5;

/** `daemons`: the most that were known at once; `aliveMs`: since this daemon's start; `burst`: its own bound. */
type Part = {
    readonly bound: RepeatBound;
    /** What the service's operators allow, as a share of its requests. */
    readonly serviceRatio: number;
    readonly burst: number;
    readonly daemons: number;
    readonly aliveMs: number;
};

/** Never more than the operators' own bounds, `serviceRatio` and `burst`. */
export function ownAllowance({ bound, serviceRatio, burst, daemons, aliveMs }: Part): Allowance {
    const part = Math.min(burst, bound.slack * OWN_SHARE / Math.max(1, daemons));
    const grown = Math.min(1, aliveMs / bound.windowMs);
    return { ratio: Math.min(serviceRatio, bound.ratio * OWN_SHARE), reserve: part * grown };
}
