/**
 * Decides how many of its queued requests a gate asks each sibling to take.
 *
 * Each sibling is asked for an equal share only, because at high load redirected requests cause further redirects.
 */

/** Most requests that one sibling is asked to take; the message has room for 64. */
const MAX_PER_SIBLING = 16;

/** Returns the number of requests to ask each sibling to take; 0 if there are no siblings. */
export function requestsPerSibling(queued: number, siblingCount: number): number {
    return siblingCount === 0 ? 0 : Math.min(MAX_PER_SIBLING, Math.ceil(queued / siblingCount));
}
