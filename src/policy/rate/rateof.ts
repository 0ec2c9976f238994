/** At which even rate may an upstream be sent requests that states so many a second? */
import type { Rate } from "./rate.js";

/** Milliseconds. */
const MS_PER_SECOND = 1000;
/** Of the requests of a second, that may be sent at once: requests come unevenly, and what is not sent in time is lost. */
const BURST_SHARE = 0.5;

/** Requests a second, also to an upstream that states less: without any request nobody learns that it takes more again. */
const LEAST_PER_SECOND = 0.25;

/** In any time, so many requests a second and half a second's more. */
export function rateOf(perSecond: number): Rate {
    const used = Math.max(LEAST_PER_SECOND, perSecond);
    return { burst: Math.max(1, Math.round(used * BURST_SHARE)), everyMs: MS_PER_SECOND / used };
}
