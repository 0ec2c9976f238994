/** Samples items at random without replacement. */
import type { RandomSource } from "../randomsource.js";

/** Returns `count` different items in random order, or all items if there are fewer. */
export function sample<Item>(items: readonly Item[], count: number, random: RandomSource): Item[] {
    const pool = [...items];
    const sampled: Item[] = [];
    while (sampled.length < count && pool.length > 0) {
        const index = Math.floor(random() * pool.length);
        sampled.push(pool[index]!);
        pool[index] = pool[pool.length - 1]!;
        pool.pop();
    }
    return sampled;
}
