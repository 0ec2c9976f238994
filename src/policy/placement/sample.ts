/** Draws a few of many. */
import type { RandomSource } from "../randomsource.js";

/** Draws `count` different items, all of them when there are no more. */
export function sample<Item>(items: readonly Item[], count: number, random: RandomSource): Item[] {
    const pool = [...items];
    const drawn: Item[] = [];
    while (drawn.length < count && pool.length > 0) {
        const at = Math.floor(random() * pool.length);
        drawn.push(pool[at]!);
        pool[at] = pool[pool.length - 1]!;
        pool.pop();
    }
    return drawn;
}
