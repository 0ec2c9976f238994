/** Starts an asynchronous call at a fixed interval, whether or not the calls before have ended. */
import { pause } from "./pause.js";

/**
 * Calls `send` every `everyMs` milliseconds for `ms` milliseconds, with the number of earlier calls. Resolves with the
 * results of all calls.
 */
export async function sendPeriodically<Result>(
    ms: number,
    everyMs: number,
    send: (index: number) => Promise<Result>,
): Promise<Result[]> {
    const endAt = performance.now() + ms;
    const pending: Promise<Result>[] = [];
    while (performance.now() < endAt) {
        pending.push(send(pending.length));
        await pause(everyMs);
    }
    return await Promise.all(pending);
}
