/**
 * Decides how often the store confirms the configuration to a watcher under strict revocation.
 *
 * The age is counted from the start of a watch, so it reaches two intervals at a watcher before the next confirmation,
 * and three at a follower that misses one heartbeat. A quarter of the limit leaves room for that.
 */

const INTERVALS_PER_LIMIT = 4;

/** Returns the interval in milliseconds; undefined if revocation is not strict. `limitMs` is that of keyed requests. */
export function confirmationIntervalMs(limitMs: number | undefined): number | undefined {
    return limitMs === undefined ? undefined : Math.floor(limitMs / INTERVALS_PER_LIMIT);
}
