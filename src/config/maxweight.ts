/** The largest weight in a split; small enough that the sum of all weights is exact. */
export const maxWeight = 1_000_000;
