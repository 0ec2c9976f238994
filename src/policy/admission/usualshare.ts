/**
 * Where do upstreams of a service slow down, by what its gates have found?
 *
 * The middle of what was found at several: one of them may err, and a new one begins by it.
 */

/** Shares of the slots; undefined where nothing was found. */
export function usualShare(shares: readonly number[]): number | undefined {
    const sorted = [...shares].sort((one, other) => one - other);
    return sorted[Math.floor((sorted.length - 1) / 2)];
}
