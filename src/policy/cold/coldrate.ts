/**
 * How is the work of a cold upstream spread in time?
 *
 * A quarter of what the bound allows in a second may be sent at once, the rest evenly. Since requests that were sent evenly may arrive less
 * so, the even rate leaves a twentieth of the bound free.
 */
import type { Rate } from "../rate/rate.js";
import type { ColdLimits } from "./coldlimits.js";

/** Milliseconds. */
const MS_PER_SECOND = 1000;
/** Of what may be sent in a second. */
const BURST_SHARE = 0.25;
/** Of what may be sent in a second, that is used. */
const USED_SHARE = 0.95;

/** The rate at which the bound holds in any second. */
export function coldRate({ perSecond, overage, slack }: ColdLimits): Rate {
    const most = Math.max(1, Math.floor(perSecond * overage + slack));
    const burst = Math.max(1, Math.round(most * BURST_SHARE));
    return { burst, intervalMs: MS_PER_SECOND / (most * USED_SHARE - (burst - 1)) };
}
