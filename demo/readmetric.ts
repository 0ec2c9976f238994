/** Reads one of a daemon's counters. */
import { request } from "undici";

/** The sum over all labels; rejects when the daemon does not answer. */
export async function readMetric(operator: string, name: string): Promise<number> {
    const line = new RegExp(`^${name}(?:\\{.*\\})? (\\d+(?:\\.\\d+)?)$`, "gm");
    const { body } = await request(`http://${operator}/metrics`);
    const text = await body.text();
    return [...text.matchAll(line)].reduce((sum, match) => sum + Number(match[1]), 0);
}
