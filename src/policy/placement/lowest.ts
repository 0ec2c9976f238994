/** Finds the item of the least cost. */

/** The first of the items with the lowest cost, undefined when there are none. */
export function lowest<Item>(items: readonly Item[], cost: (item: Item) => number): Item | undefined {
    let best: Item | undefined;
    let bestCost = Infinity;
    for (const item of items) {
        const its = cost(item);
        if (best === undefined || its < bestCost) {
            best = item;
            bestCost = its;
        }
    }
    return best;
}
