/** Cancels a request. */
import { EventEmitter } from "node:events";

const ABORT_EVENT = "abort";

/** Replaces an AbortController and its signal at a fraction of their cost; undici accepts it as a signal. */
export class Cancellation extends EventEmitter {
    aborted = false;

    abort(): void {
        if (!this.aborted) {
            this.aborted = true;
            this.emit(ABORT_EVENT);
        }
    }

    /** Calls the listener once on abort. Returns a function that removes the listener. */
    onAbort(listener: () => void): () => void {
        this.once(ABORT_EVENT, listener);
        return () => this.removeListener(ABORT_EVENT, listener);
    }
}
