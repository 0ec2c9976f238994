/**
 * Limits what is parsed of all connections in a turn of the event loop.
 *
 * The objects of a request are freed only after the turn, also those of a connection that was closed, and a turn can read
 * a full buffer, which holds some thousand small requests, from each of several hundred connections.
 */

/** The memory of the requests that are parsed in a turn before the other connections have to wait, in bytes. */
const MAX_TURN_BYTES = 4 * 1024 * 1024;

/** Owns the pause of all connections, which lasts until the next turn. */
export class ReadShare {
    #turnBytes = 0;
    #isPaused = false;
    #immediate: NodeJS.Immediate | undefined;

    constructor(private readonly pauseAll: () => void, private readonly resumeAll: () => void) {}

    /** Records the memory of a request that was parsed. */
    add(bytes: number): void {
        this.#turnBytes += bytes;
        this.#immediate ??= setImmediate(() => this.#begin());
        if (!this.#isPaused && this.#turnBytes > MAX_TURN_BYTES) {
            this.#isPaused = true;
            this.pauseAll();
        }
    }

    #begin(): void {
        this.#immediate = undefined;
        this.#turnBytes = 0;
        if (this.#isPaused) {
            this.#isPaused = false;
            this.resumeAll();
        }
    }
}
