/** Waits for something to become so. */
import { pause } from "./pause.js";

const LOOK_EVERY_MS = 100;

/** Resolves when the test holds; rejects when it has not within the bound. */
export async function eventually(what: string, test: () => Promise<boolean>, boundMs = 19_000): Promise<void> {
    for (let waitedMs = 0; waitedMs < boundMs; waitedMs += LOOK_EVERY_MS) {
        if (await test()) {
            return;
        }
        await pause(LOOK_EVERY_MS);
    }
    throw new Error(`not within ${boundMs} ms: ${what}`);
}
