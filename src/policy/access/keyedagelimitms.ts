/**
 * Decides from which age of the configuration on keyed requests are refused under strict revocation.
 *
 * The bound runs from the removal of a key to the last request that is accepted with it. The age is derived from
 * heartbeats, which state the age at the time of sending: the true age is larger by the time in transit and in the
 * receiver's socket. HallHeartbeats ignores confirmations that it may have read more than 400 ms late, and 100 ms exceed
 * the latency between regions.
 */

/** Largest part of the configuration's age that a daemon can't measure, in milliseconds. */
const UNMEASURED_AGE_MS = 500;

/** Returns the age in milliseconds; undefined if revocation is not strict. `boundMs` is the setting. */
export function keyedAgeLimitMs(boundMs: number | undefined): number | undefined {
    return boundMs === undefined ? undefined : boundMs - UNMEASURED_AGE_MS;
}
