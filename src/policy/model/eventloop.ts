/** The time of a model: what is to happen, in order. */

type Event = { readonly at: number; readonly order: number; readonly run: () => void; isCancelled: boolean; };

/** Milliseconds; events of the same time run in the order in which they were planned. */
export class EventLoop {
    readonly #heap: Event[] = [];
    #now = 0;
    #order = 0;

    get now(): number {
        return this.#now;
    }

    /** Plans something; the return value takes it back. */
    in(afterMs: number, run: () => void): () => void {
        const event = { at: this.#now + Math.max(0, afterMs), order: this.#order++, run, isCancelled: false };
        this.#push(event);
        return () => {
            event.isCancelled = true;
        };
    }

    /** Runs what is planned up to a time. */
    runUntil(end: number): void {
        for (let next = this.#heap[0]; next !== undefined && next.at <= end; next = this.#heap[0]) {
            this.#pop();
            this.#now = next.at;
            if (!next.isCancelled) {
                next.run();
            }
        }
        this.#now = end;
    }

    #push(event: Event): void {
        const heap = this.#heap;
        let at = heap.push(event) - 1;
        while (at > 0) {
            const parent = (at - 1) >> 1;
            if (!isBefore(heap[at]!, heap[parent]!)) {
                return;
            }
            [heap[at], heap[parent]] = [heap[parent]!, heap[at]!];
            at = parent;
        }
    }

    #pop(): void {
        const heap = this.#heap;
        const last = heap.pop()!;
        if (heap.length === 0) {
            return;
        }
        heap[0] = last;
        for (let at = 0;;) {
            const left = 2 * at + 1;
            const right = left + 1;
            let least = at;
            if (left < heap.length && isBefore(heap[left]!, heap[least]!)) {
                least = left;
            }
            if (right < heap.length && isBefore(heap[right]!, heap[least]!)) {
                least = right;
            }
            if (least === at) {
                return;
            }
            [heap[at], heap[least]] = [heap[least]!, heap[at]!];
            at = least;
        }
    }
}

const isBefore = (one: Event, other: Event): boolean =>
    one.at < other.at || (one.at === other.at && one.order < other.order);
