/**
 * Spreads the requests to a cold upstream over time.
 *
 * A quarter of the requests that the bound allows in a second may be sent at once, and the rest evenly. Requests that
 * are sent evenly may arrive less evenly, so the even rate leaves a twentieth of the bound unused.
 */
import type { Rate } from "../rate/rate.js";
import type { ColdLimits } from "./coldlimits.js";

const MS_PER_SECOND = 1000;
/** Share of a second's requests that may be sent at once. */
const BURST_SHARE = 0.25;
/** Share of a second's requests that the even rate uses. */
const SUSTAINED_SHARE = 0.95;

/** Returns a rate that keeps to the bound in any second. */
export function coldRate({ perSecond, overage, slack }: ColdLimits): Rate {
    const maxPerSecond = Math.max(1, Math.floor(perSecond * overage + slack));
    const burst = Math.max(1, Math.round(maxPerSecond * BURST_SHARE));
    return { burst, intervalMs: MS_PER_SECOND / (maxPerSecond * SUSTAINED_SHARE - (burst - 1)) };
}
