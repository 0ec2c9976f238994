/**
 * Limits the requests that one connection is served in a turn of the event loop.
 *
 * A request that is refused at once is answered within the turn, and so would be all those that wait behind it: some
 * thousands from one socket read, during which no other connection is read.
 */

/** Requests of one connection in a turn. */
const MAX_REQUESTS = 16;

/** `proceed` is called in a later turn after requests were held back. */
export class TurnShare {
    #takenCount = 0;
    #immediate: NodeJS.Immediate | undefined;

    constructor(private readonly proceed: () => void) {}

    /** Returns true if one more request may be served in this turn. */
    take(): boolean {
        if (this.#immediate === undefined) {
            this.#immediate = setImmediate(() => this.#begin());
        }
        this.#takenCount += 1;
        return this.#takenCount <= MAX_REQUESTS;
    }

    stop(): void {
        clearImmediate(this.#immediate);
    }

    #begin(): void {
        const wasHeld = this.#takenCount > MAX_REQUESTS;
        this.#immediate = undefined;
        this.#takenCount = 0;
        if (wasHeld) {
            this.proceed();
        }
    }
}
