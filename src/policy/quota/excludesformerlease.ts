/**
 * Decides whether a lease of this daemon's former process can still be counted.
 *
 * A process leases its share only to a counter that has answered it. The clock of a daemon begins with its process, so an
 * answer shows when the counter's process started. One that started with this daemon's process or later has not answered
 * the former one, which had ended by then. If that holds for each candidate of the shard, as after a loss of power of all
 * hosts, no lease of the former process is counted, and the daemon need not wait for its end.
 */
import type { CounterView } from "./counterview.js";

/** A process takes at least this long from its start to its first answer, in milliseconds. */
const MIN_START_MS = 100;

/** `processStartedAt`: the start of this daemon's process, in milliseconds on its clock. */
export function excludesFormerLease(candidates: readonly CounterView[], processStartedAt: number): boolean {
    return candidates.length > 0
        && candidates.every(({ startedAfter }) => startedAfter >= processStartedAt - MIN_START_MS);
}
