/** Measures the cost of one more item. */
import type { Slope } from "./slope.js";

/** Takes the lowest of three totals at each count; the slope is that between the first and the last count. */
export async function measureSlope(
    name: string,
    unit: string,
    counts: readonly number[],
    measureTotal: (count: number) => number | Promise<number>,
): Promise<Slope> {
    const totals: { count: number; total: number; }[] = [];
    for (const count of counts) {
        const runs = [await measureTotal(count), await measureTotal(count), await measureTotal(count)];
        totals.push({ count, total: Math.min(...runs) });
    }
    const [first, last] = [totals[0]!, totals.at(-1)!];
    return { name, unit, perItem: (last.total - first.total) / (last.count - first.count), totals };
}
