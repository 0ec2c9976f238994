/** The items that were added last, a bounded number. */
export class RecentSet<Item> {
    readonly #items = new Set<Item>();

    constructor(private readonly most: number) {}

    /** Adds an item, or counts it as added anew; the one added longest ago goes where there are too many. */
    add(item: Item): void {
        this.#items.delete(item);
        this.#items.add(item);
        if (this.#items.size > this.most) {
            this.#items.delete(this.#items.values().next().value!);
        }
    }

    has(item: Item): boolean {
        return this.#items.has(item);
    }
}
