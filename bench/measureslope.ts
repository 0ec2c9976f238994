/** Measures what one more costs. */
import type { Slope } from "./slope.js";

/** Takes the total at each count, the least of a few tries; the slope is between the ends. */
export async function measureSlope(
    what: string,
    unit: string,
    counts: readonly number[],
    total: (count: number) => number | Promise<number>,
): Promise<Slope> {
    const at: { count: number; total: number; }[] = [];
    for (const count of counts) {
        const tries = [await total(count), await total(count), await total(count)];
        at.push({ count, total: Math.min(...tries) });
    }
    const [first, last] = [at[0]!, at.at(-1)!];
    return { what, unit, each: (last.total - first.total) / (last.count - first.count), at };
}
