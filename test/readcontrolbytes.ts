/** Reads a daemon's counter of control traffic, and the time of the reading. */
import { readMetric } from "../demo/readmetric.js";

/** The counter was `bytes` at some time between `requestedAt` and `respondedAt`, both in milliseconds. */
type Reading = { readonly bytes: number; readonly requestedAt: number; readonly respondedAt: number; };

/** Resolves with the reading. Rejects if the daemon does not respond: a missing reading must not count as 0 bytes. */
export async function readControlBytes(operator: string): Promise<Reading> {
    const requestedAt = performance.now();
    const bytes = await readMetric(operator, "winglock_control_bytes_total");
    return { bytes, requestedAt, respondedAt: performance.now() };
}
