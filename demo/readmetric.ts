/** Reads a metric of a daemon. */
import { request } from "undici";

/**
 * Resolves with the sum over the series of the metric whose labels contain `label`, by default all. Rejects if the daemon
 * does not respond.
 */
export async function readMetric(operator: string, name: string, label = ""): Promise<number> {
    const line = new RegExp(`^${name}(?:\\{.*${label}.*\\})? (\\d+(?:\\.\\d+)?)$`, "gm");
    const { body } = await request(`http://${operator}/metrics`);
    const text = await body.text();
    return [...text.matchAll(line)].reduce((sum, match) => sum + Number(match[1]), 0);
}
