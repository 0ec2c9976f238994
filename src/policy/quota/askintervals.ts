/**
 * The intervals of requests that only learn a counter's state, in milliseconds.
 *
 * - `probeMs`: to a suspected counter, or one that has not answered yet.
 * - `unleasedMs`: to these and to the preferred counter while no counter holds the share, so that requests are not refused
 *   for longer than needed.
 */
export const askIntervals = { probeMs: 1000, unleasedMs: 250 } as const;
