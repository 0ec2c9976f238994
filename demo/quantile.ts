/** Quantile of a sample. */

/** Returns the value below which `share` of the sorted values lie, or 0 if there are none. */
export function quantile(sorted: readonly number[], share: number): number {
    return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))] ?? 0;
}
