/** Waits until no work is left. */
import { afterPoll } from "../time/afterpoll.js";
import type { Clock } from "../time/clock.js";
import { sleep } from "../time/sleep.js";

/** Interval of the checks; a stop takes longer than the work in progress by this at most. */
const POLL_INTERVAL_MS = 20;

/** `until` is a time on the clock. */
type WaitLimit = { readonly clock: Clock; readonly until: number; readonly forceStop?: AbortSignal; };

/**
 * Resolves with the last `count` when it is 0, when the time `until` is reached, or when `forceStop` aborts. Counts only
 * after what had arrived was read, since a stall of the process delays the sockets more than the timers.
 */
export async function waitIdle(count: () => number, { clock, until, forceStop }: WaitLimit): Promise<number> {
    const mayWait = (): boolean => clock() < until && forceStop?.aborted !== true;
    await afterPoll();
    while (count() > 0 && mayWait()) {
        await sleep(POLL_INTERVAL_MS, forceStop);
        await afterPoll();
    }
    return count();
}
