/** Waits until no work is left. */
import { sleep } from "../time/sleep.js";

/** Interval of the checks; a stop takes longer than the work in progress by this at most. */
const POLL_INTERVAL_MS = 20;

/** Resolves with the last `count` when it is 0, when `limitMs` have passed, or when `forceStop` aborts. */
export async function waitIdle(count: () => number, limitMs: number, forceStop: AbortSignal): Promise<number> {
    const maxPolls = Math.ceil(limitMs / POLL_INTERVAL_MS);
    for (let poll = 0; poll < maxPolls && count() > 0 && !forceStop.aborted; poll++) {
        await sleep(POLL_INTERVAL_MS, forceStop);
    }
    return count();
}
