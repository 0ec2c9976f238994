/** Measures what one more costs. */
import type { Slope } from "./slope.js";

/** Takes the total at each count, the least of a few tries; the slope is between the ends. */
export async function measureSlope(
    name: string,
    unit: string,
    counts: readonly number[],
    total: (count: number) => number | Promise<number>,
): Promise<Slope> {
    const totals: { count: number; total: number; }[] = [];
    for (const count of counts) {
        const runs = [await total(count), await total(count), await total(count)];
        totals.push({ count, total: Math.min(...runs) });
    }
    const [first, last] = [totals[0]!, totals.at(-1)!];
    return { name: name, unit, perItem: (last.total - first.total) / (last.count - first.count), totals: totals };
}
