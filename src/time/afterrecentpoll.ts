/** Waits until what had arrived at this process shortly before was read. */
import { setImmediate as nextCheck } from "node:timers/promises";
import type { Clock } from "./clock.js";

/** Long turns of an overloaded process are shorter. */
const MAX_POLL_AGE_MS = 250;
/** Bounds the wait of a process whose turns are all longer. */
const MAX_POLLS = 3;

/**
 * Resolves after all sockets were polled. Waits for another poll if the process did not run between the poll and its end:
 * what arrived meanwhile is unread.
 */
export async function afterRecentPoll(clock: Clock): Promise<void> {
    for (let polls = 0; polls < MAX_POLLS; polls++) {
        // The first check may come before the poll.
        await nextCheck();
        const polledAfter = clock();
        await nextCheck();
        if (clock() - polledAfter <= MAX_POLL_AGE_MS) {
            return;
        }
    }
}
