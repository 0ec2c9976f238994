/** Schedules the events of a simulation in simulated time. */

type Event = { readonly dueAt: number; readonly order: number; readonly run: () => void; isCancelled: boolean; };

/**
 * Runs events in the order of their times, and events of the same time in the order of their scheduling. Times are
 * milliseconds.
 */
export class EventLoop {
    readonly #heap: Event[] = [];
    #now = 0;
    #order = 0;

    get now(): number {
        return this.#now;
    }

    /** Schedules `run`; the returned function cancels it. */
    schedule(afterMs: number, run: () => void): () => void {
        const event = { dueAt: this.#now + Math.max(0, afterMs), order: this.#order++, run, isCancelled: false };
        this.#push(event);
        return () => {
            event.isCancelled = true;
        };
    }

    /** Runs the events that are due until `end`, and sets the time to `end`. */
    runUntil(end: number): void {
        for (let next = this.#heap[0]; next !== undefined && next.dueAt <= end; next = this.#heap[0]) {
            this.#pop();
            this.#now = next.dueAt;
            if (!next.isCancelled) {
                next.run();
            }
        }
        this.#now = end;
    }

    #push(event: Event): void {
        const heap = this.#heap;
        let index = heap.push(event) - 1;
        while (index > 0) {
            const parent = (index - 1) >> 1;
            if (!isBefore(heap[index]!, heap[parent]!)) {
                return;
            }
            [heap[index], heap[parent]] = [heap[parent]!, heap[index]!];
            index = parent;
        }
    }

    #pop(): void {
        const heap = this.#heap;
        const last = heap.pop()!;
        if (heap.length === 0) {
            return;
        }
        heap[0] = last;
        for (let index = 0;;) {
            const left = 2 * index + 1;
            const right = left + 1;
            let least = index;
            if (left < heap.length && isBefore(heap[left]!, heap[least]!)) {
                least = left;
            }
            if (right < heap.length && isBefore(heap[right]!, heap[least]!)) {
                least = right;
            }
            if (least === index) {
                return;
            }
            [heap[index], heap[least]] = [heap[least]!, heap[index]!];
            index = least;
        }
    }
}

const isBefore = (a: Event, b: Event): boolean => a.dueAt < b.dueAt || (a.dueAt === b.dueAt && a.order < b.order);
