/** Quantiles of a sample. */

/** The value below which `share` of the sorted values lie; 0 for none. */
export function quantile(sorted: readonly number[], share: number): number {
    return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))] ?? 0;
}
