/** Waits. */
import { setTimeout } from "node:timers/promises";

/** Resolves after the time, or at once when the signal aborts. */
export async function sleep(ms: number, signal?: AbortSignal): Promise<void> {
    try {
        await setTimeout(ms, undefined, { signal });
    }
    catch {
        // Aborted: the caller looks at its own signal.
    }
}
