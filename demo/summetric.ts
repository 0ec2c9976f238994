/** Sums a daemon's counters. */
import { request } from "undici";

/** The sum over all daemons and labels; a daemon that does not answer counts nothing. */
export async function sumMetric(operators: readonly string[], name: string): Promise<number> {
    const line = new RegExp(`^${name}(?:\\{.*\\})? (\\d+(?:\\.\\d+)?)$`, "gm");
    const sums = await Promise.all(operators.map(async operator => {
        try {
            const { body } = await request(`http://${operator}/metrics`);
            const text = await body.text();
            return [...text.matchAll(line)].reduce((sum, match) => sum + Number(match[1]), 0);
        }
        catch {
            return 0;
        }
    }));
    return sums.reduce((total, sum) => total + sum, 0);
}
