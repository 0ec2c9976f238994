/** Reads what a daemon has spent for control, and when. */
import { readMetric } from "../demo/readmetric.js";

/** The daemon counted `bytes` at some moment between `askedAt` and `answeredAt`, in milliseconds. */
type Reading = { readonly bytes: number; readonly askedAt: number; readonly answeredAt: number; };

/** Rejects when the daemon does not answer: no reading is not a reading of 0. */
export async function readControlBytes(operator: string): Promise<Reading> {
    const askedAt = performance.now();
    const bytes = await readMetric(operator, "winglock_control_bytes_total");
    return { bytes, askedAt, answeredAt: performance.now() };
}
