/** Finds the item with the lowest cost. */

/** Returns the first of the items with the lowest cost, or undefined when there are none. */
export function minBy<Item>(items: readonly Item[], cost: (item: Item) => number): Item | undefined {
    let best: Item | undefined;
    let bestCost = Infinity;
    for (const item of items) {
        const itemCost = cost(item);
        if (best === undefined || itemCost < bestCost) {
            best = item;
            bestCost = itemCost;
        }
    }
    return best;
}
