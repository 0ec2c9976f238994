/** Shares turns between keys by weight (start-time fair queueing, Goyal et al. 1996); all items cost the same. */

/** The items of one key. The flow with the lowest `tag`, a virtual time, has the next turn. */
type Flow<Item> = { items: Item[]; tag: number; weight: number; };

/** Gives each key with items turns in proportion to its weight, so that none starves. */
export class FairQueue<Key, Item> {
    readonly #flows = new Map<Key, Flow<Item>>();
    #virtualTime = 0;
    #length = 0;

    /** `precedes` orders the items of a key; without it they are first in, first out. */
    constructor(
        private readonly weightOf: (key: Key) => number,
        private readonly precedes?: (a: Item, b: Item) => boolean,
    ) {}

    get length(): number {
        return this.#length;
    }

    /** Returns the number of queued items of a key. */
    countOf(key: Key): number {
        return this.#flows.get(key)?.items.length ?? 0;
    }

    push(key: Key, item: Item): void {
        const flow = this.#flows.get(key) ?? this.#addFlow(key);
        flow.items.splice(this.#indexFor(flow.items, item), 0, item);
        this.#length += 1;
    }

    /** Returns the next item without removing it, or undefined if the queue is empty. */
    peek(): Item | undefined {
        const key = this.#nextKey();
        return key === undefined ? undefined : this.#flows.get(key)!.items[0];
    }

    /** Removes and returns the next item, or returns undefined if the queue is empty. */
    shift(): Item | undefined {
        const key = this.#nextKey();
        if (key === undefined) {
            return undefined;
        }
        const flow = this.#flows.get(key)!;
        const item = flow.items.shift();
        this.#virtualTime = flow.tag;
        flow.tag += 1 / flow.weight;
        this.#length -= 1;
        this.#removeIfEmpty(key, flow);
        return item;
    }

    /** Removes an item before its turn; returns false if it is not queued. */
    remove(key: Key, item: Item): boolean {
        const flow = this.#flows.get(key);
        const index = flow?.items.indexOf(item) ?? -1;
        if (flow === undefined || index < 0) {
            return false;
        }
        flow.items.splice(index, 1);
        this.#length -= 1;
        this.#removeIfEmpty(key, flow);
        return true;
    }

    /** Returns all queued items, in no particular order. */
    items(): Item[] {
        return [...this.#flows.values()].flatMap(flow => flow.items);
    }

    #indexFor(items: readonly Item[], item: Item): number {
        let index = items.length;
        while (this.precedes !== undefined && index > 0 && this.precedes(item, items[index - 1]!)) {
            index -= 1;
        }
        return index;
    }

    #addFlow(key: Key): Flow<Item> {
        const weight = this.weightOf(key);
        const flow = { items: [], tag: this.#virtualTime + 1 / weight, weight };
        this.#flows.set(key, flow);
        return flow;
    }

    #removeIfEmpty(key: Key, flow: Flow<Item>): void {
        if (flow.items.length === 0) {
            this.#flows.delete(key);
        }
    }

    #nextKey(): Key | undefined {
        let nextKey: Key | undefined;
        let lowestTag = Infinity;
        for (const [key, flow] of this.#flows) {
            if (flow.tag < lowestTag) {
                nextKey = key;
                lowestTag = flow.tag;
            }
        }
        return nextKey;
    }
}
