/** Reads what a daemon has spent for control, and when. */
import { request } from "undici";

/** The daemon counted `bytes` at some moment between `askedAt` and `answeredAt`, in milliseconds. */
type Reading = { readonly bytes: number; readonly askedAt: number; readonly answeredAt: number; };

const LINE = /^winglock_control_bytes_total(?:\{.*\})? (\d+(?:\.\d+)?)$/gm;

/** Rejects when the daemon does not answer: no reading is not a reading of 0. */
export async function readControlBytes(operator: string): Promise<Reading> {
    const askedAt = performance.now();
    const { body } = await request(`http://${operator}/metrics`);
    const text = await body.text();
    const answeredAt = performance.now();
    const bytes = [...text.matchAll(LINE)].reduce((sum, match) => sum + Number(match[1]), 0);
    return { bytes, askedAt, answeredAt };
}
