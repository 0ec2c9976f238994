/** The pending watches of a client to a store. */
import type { ConnectionPools } from "./connectionpools.js";
import { ConnectionReplacedError } from "./connectionreplacederror.js";

type WatchListener = {
    /** Called when the first watch begins. */
    readonly onBegin: () => void;
    /** Called when no watch is pending any more. */
    readonly onEnd: () => void;
};

/** A watch is known by the controller that cancels it. */
export class PendingWatches {
    readonly #watches = new Map<AbortController, ConnectionPools>();

    constructor(private readonly listener: WatchListener) {}

    add(watch: AbortController, connections: ConnectionPools): void {
        this.#watches.set(watch, connections);
        if (this.#watches.size === 1) {
            this.listener.onBegin();
        }
    }

    /** Removes a watch that has ended. */
    remove(watch: AbortController): void {
        if (this.#watches.delete(watch) && this.#watches.size === 0) {
            this.listener.onEnd();
        }
    }

    /** Aborts the watches on other connections than the present ones; their callers start new ones. */
    abortOld(present: ConnectionPools): void {
        [...this.#watches].filter(([, connections]) => connections !== present).forEach(([watch]) =>
            watch.abort(new ConnectionReplacedError())
        );
    }
}
