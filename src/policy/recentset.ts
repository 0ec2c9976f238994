/** Holds the most recently added items, up to a capacity. */
export class RecentSet<Item> {
    readonly #items = new Set<Item>();

    constructor(private readonly capacity: number) {}

    /** Adds an item, or makes it the newest one if present; evicts the oldest item if the capacity is exceeded. */
    add(item: Item): void {
        this.#items.delete(item);
        this.#items.add(item);
        if (this.#items.size > this.capacity) {
            this.#items.delete(this.#items.values().next().value!);
        }
    }

    delete(item: Item): void {
        this.#items.delete(item);
    }

    has(item: Item): boolean {
        return this.#items.has(item);
    }
}
