/** Converts a stated rate limit to an even rate with a burst. */
import type { Rate } from "./rate.js";

const MS_PER_SECOND = 1000;
/** Share of a second's requests that may be sent at once: requests arrive unevenly, and unused capacity is lost. */
const BURST_SHARE = 0.5;

/** Lowest rate, also if the upstream states less: only a response shows that it takes more requests again. */
const MIN_PER_SECOND = 0.25;

/** Returns the rate that allows, in any period, `perSecond` requests a second plus half a second's worth. */
export function toRate(perSecond: number): Rate {
    const effectivePerSecond = Math.max(MIN_PER_SECOND, perSecond);
    return {
        burst: Math.max(1, Math.round(effectivePerSecond * BURST_SHARE)),
        intervalMs: MS_PER_SECOND / effectivePerSecond,
    };
}
