/**
 * Combines the shares of the slots above which the upstreams of a service were found to slow down.
 *
 * Takes the lower median, because a single finding may be wrong and a new upstream starts from the result.
 */

/** Returns the lower median of the shares, or undefined if there are none. */
export function medianShare(shares: readonly number[]): number | undefined {
    const sorted = [...shares].sort((a, b) => a - b);
    return sorted[Math.floor((sorted.length - 1) / 2)];
}
