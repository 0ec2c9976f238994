/** Whose turn is it among keys that share by weight? Start-time fair queueing (Goyal and others 1996), each item costing the same. */

type Lane<Item> = { items: Item[]; pass: number; weight: number; };

/** A line for each key; the keys share by weight, and none starves. */
export class FairQueue<Key, Item> {
    readonly #lanes = new Map<Key, Lane<Item>>();
    #virtualTime = 0;
    #length = 0;

    /** `before` sorts the items of a key: first in, first out when it is left out. */
    constructor(
        private readonly weightOf: (key: Key) => number,
        private readonly before?: (one: Item, other: Item) => boolean,
    ) {}

    get length(): number {
        return this.#length;
    }

    /** Items that wait under a key. */
    waiting(key: Key): number {
        return this.#lanes.get(key)?.items.length ?? 0;
    }

    push(key: Key, item: Item): void {
        const lane = this.#lanes.get(key) ?? this.#open(key);
        lane.items.splice(this.#placeOf(lane.items, item), 0, item);
        this.#length += 1;
    }

    /** The next item, which stays; undefined when none waits. */
    first(): Item | undefined {
        const key = this.#next();
        return key === undefined ? undefined : this.#lanes.get(key)!.items[0];
    }

    /** Takes the next item, undefined when none waits. */
    shift(): Item | undefined {
        const key = this.#next();
        if (key === undefined) {
            return undefined;
        }
        const lane = this.#lanes.get(key)!;
        const item = lane.items.shift();
        this.#virtualTime = lane.pass;
        lane.pass += 1 / lane.weight;
        this.#length -= 1;
        this.#close(key, lane);
        return item;
    }

    /** Takes an item out of its turn; false when it does not wait. */
    remove(key: Key, item: Item): boolean {
        const lane = this.#lanes.get(key);
        const at = lane?.items.indexOf(item) ?? -1;
        if (lane === undefined || at < 0) {
            return false;
        }
        lane.items.splice(at, 1);
        this.#length -= 1;
        this.#close(key, lane);
        return true;
    }

    /** All that wait, in no particular order. */
    items(): Item[] {
        return [...this.#lanes.values()].flatMap(lane => lane.items);
    }

    #placeOf(items: readonly Item[], item: Item): number {
        let at = items.length;
        while (this.before !== undefined && at > 0 && this.before(item, items[at - 1]!)) {
            at -= 1;
        }
        return at;
    }

    #open(key: Key): Lane<Item> {
        const weight = this.weightOf(key);
        const lane = { items: [], pass: this.#virtualTime + 1 / weight, weight };
        this.#lanes.set(key, lane);
        return lane;
    }

    #close(key: Key, lane: Lane<Item>): void {
        if (lane.items.length === 0) {
            this.#lanes.delete(key);
        }
    }

    #next(): Key | undefined {
        let best: Key | undefined;
        let bestPass = Infinity;
        for (const [key, lane] of this.#lanes) {
            if (lane.pass < bestPass) {
                best = key;
                bestPass = lane.pass;
            }
        }
        return best;
    }
}
