/** Waits for work to end. */
import { sleep } from "../time/sleep.js";

/** Milliseconds: a stop is at most so much longer than the work takes. */
const POLL_INTERVAL_MS = 20;

/** Resolves with what is left of `count` when it is 0, when `limitMs` have passed, or when `hurry` aborts. */
export async function waitIdle(count: () => number, limitMs: number, forceStop: AbortSignal): Promise<number> {
    const maxPolls = Math.ceil(limitMs / POLL_INTERVAL_MS);
    for (let poll = 0; poll < maxPolls && count() > 0 && !forceStop.aborted; poll++) {
        await sleep(POLL_INTERVAL_MS, forceStop);
    }
    return count();
}
