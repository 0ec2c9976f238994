/** Waits for work to end. */
import { sleep } from "../time/sleep.js";

/** Milliseconds: a stop is at most so much longer than the work takes. */
const LOOK_EVERY_MS = 20;

/** Resolves with what is left of `count` when it is 0, when `limitMs` have passed, or when `hurry` aborts. */
export async function waitIdle(count: () => number, limitMs: number, hurry: AbortSignal): Promise<number> {
    const looks = Math.ceil(limitMs / LOOK_EVERY_MS);
    for (let look = 0; look < looks && count() > 0 && !hurry.aborted; look++) {
        await sleep(LOOK_EVERY_MS, hurry);
    }
    return count();
}
