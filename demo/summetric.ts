/** Sums a counter over daemons. */
import { readMetric } from "./readmetric.js";

/** The sum over all daemons and labels; a daemon that does not answer counts nothing. */
export async function sumMetric(operators: readonly string[], name: string): Promise<number> {
    const counts = await Promise.all(operators.map(operator => readMetric(operator, name).catch(() => 0)));
    return counts.reduce((total, count) => total + count, 0);
}
