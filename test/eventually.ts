/** Waits for a condition. */
import { pause } from "./pause.js";

const POLL_INTERVAL_MS = 100;

/** Resolves when `isMet` resolves with true; rejects with the name of the condition if that takes over `timeoutMs`. */
export async function eventually(
    condition: string,
    isMet: () => Promise<boolean>,
    timeoutMs = 19_000,
): Promise<void> {
    for (let waitedMs = 0; waitedMs < timeoutMs; waitedMs += POLL_INTERVAL_MS) {
        if (await isMet()) {
            return;
        }
        await pause(POLL_INTERVAL_MS);
    }
    throw new Error(`condition not met within ${timeoutMs} ms: ${condition}`);
}
