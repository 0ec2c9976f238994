/** Waits until what has already arrived at this process was read. */
import { setImmediate as nextCheck } from "node:timers/promises";

/**
 * Resolves right after all sockets were polled. Two immediates are needed, since the first may run before the poll.
 *
 * After a stall of the process, timers run before the sockets are read.
 */
export async function afterPoll(): Promise<void> {
    await nextCheck();
    await nextCheck();
}
