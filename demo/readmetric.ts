/** Reads one of a daemon's counters. */
import { request } from "undici";

/** The sum over all series, or those whose labels hold `label`; rejects when the daemon does not answer. */
export async function readMetric(operator: string, name: string, label = ""): Promise<number> {
    const line = new RegExp(`^${name}(?:\\{.*${label}.*\\})? (\\d+(?:\\.\\d+)?)$`, "gm");
    const { body } = await request(`http://${operator}/metrics`);
    const text = await body.text();
    return [...text.matchAll(line)].reduce((sum, match) => sum + Number(match[1]), 0);
}
