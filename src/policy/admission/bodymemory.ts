/**
 * Decides whether the daemon may hold the body of one more request.
 *
 * Input is the number of bytes that the body may take while it is held. The sum over all requests is bounded, so that
 * many uploads at once are refused early instead of exhausting the memory of the host.
 */

/** The bytes reserved for one request. */
type Reservation = {
    /** Changes the reservation to the bytes that are held; does not fail, since they already are. */
    readonly resize: (bytes: number) => void;
    /** Ends the reservation; does nothing if it has ended. */
    readonly release: () => void;
};

/** Counts the bytes of the bodies that are held, over all requests of a daemon. */
export class BodyMemory {
    #heldBytes = 0;
    #refusedCount = 0;

    constructor(readonly maxBytes: number) {}

    get heldBytes(): number {
        return this.#heldBytes;
    }

    /** The number of requests for which no bytes could be reserved. */
    get refusedCount(): number {
        return this.#refusedCount;
    }

    /** Returns a reservation, or undefined if the bound would be exceeded. */
    reserve(bytes: number): Reservation | undefined {
        if (this.#heldBytes + bytes > this.maxBytes) {
            this.#refusedCount += 1;
            return undefined;
        }
        let reservedBytes = 0;
        let hasEnded = false;
        const resize = (newBytes: number): void => {
            if (!hasEnded) {
                this.#heldBytes += newBytes - reservedBytes;
                reservedBytes = newBytes;
            }
        };
        const release = (): void => {
            resize(0);
            hasEnded = true;
        };
        resize(bytes);
        return { resize, release };
    }
}
