/** Waits for a time that can be aborted. */
import { setTimeout } from "node:timers/promises";

/** Resolves after `ms` milliseconds, or at once when the signal aborts; never rejects on abort. */
export async function sleep(ms: number, signal?: AbortSignal): Promise<void> {
    try {
        await setTimeout(ms, undefined, { signal });
    }
    catch {
        // Aborted: the caller checks its own signal.
    }
}
