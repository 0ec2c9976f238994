/**
 * Decides whether the daemon may hold more bytes of bodies, and which unfinished body it gives up for them.
 *
 * Inputs are the bytes that a body takes and, while it is unfinished, the time at which it began. The sum over all
 * requests is bounded, so that many uploads at once are refused early instead of exhausting the memory of the host. If
 * the bound would be exceeded, the bodies that have been unfinished for longest are given up first: an ordinary body
 * arrives within a fraction of a second, while one that stopped short of its end, or trickles in, would keep its bytes
 * until its deadline.
 */

/** Bodies that have been unfinished for less than this time are not given up. */
const MIN_UNFINISHED_MS = 500;

/** An unfinished body. */
type Unfinished = {
    /** The time at which it began to arrive, in milliseconds on the daemon's clock. */
    readonly startedAt: number;
    /** Gives the body up; its reservation is released. */
    readonly evict: () => void;
};

/** The bytes reserved for one request. */
type Reservation = {
    /** Changes the reservation to the bytes that are held; does not fail, since they already are. */
    readonly resize: (bytes: number) => void;
    /** Reserves at least the given bytes; returns false, and changes nothing, if the bound would be exceeded. */
    readonly grow: (bytes: number, now: number) => boolean;
    /** Records that the body is complete: it is not given up any more. */
    readonly complete: () => void;
    /** Ends the reservation; does nothing if it has ended. */
    readonly release: () => void;
};

/** Counts the bytes of the bodies that are held, over all requests of a daemon. */
export class BodyMemory {
    #heldBytes = 0;
    #refusedCount = 0;
    #evictedCount = 0;
    /** In the order in which the bodies began. */
    readonly #unfinished = new Set<Unfinished>();

    constructor(readonly maxBytes: number) {}

    get heldBytes(): number {
        return this.#heldBytes;
    }

    /** The number of requests for which no bytes could be reserved. */
    get refusedCount(): number {
        return this.#refusedCount;
    }

    /** The number of unfinished bodies that were given up for others. */
    get evictedCount(): number {
        return this.#evictedCount;
    }

    /**
     * Returns a reservation, or undefined if the bound would be exceeded. With `unfinished`, the body may be given up
     * until it is complete.
     */
    reserve(bytes: number, unfinished?: Unfinished): Reservation | undefined {
        if (!this.#makeRoom(bytes, unfinished?.startedAt ?? -Infinity)) {
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
        const grow = (newBytes: number, now: number): boolean => {
            if (newBytes <= reservedBytes) {
                return true;
            }
            if (hasEnded || !this.#makeRoom(newBytes - reservedBytes, now, unfinished)) {
                return false;
            }
            resize(newBytes);
            return true;
        };
        const complete = (): void => void (unfinished !== undefined && this.#unfinished.delete(unfinished));
        const release = (): void => {
            complete();
            resize(0);
            hasEnded = true;
        };
        if (unfinished !== undefined) {
            this.#unfinished.add(unfinished);
        }
        resize(bytes);
        return { resize, grow, complete, release };
    }

    /** Gives up bodies until there is room for the bytes; returns false, and counts a refusal, if that is impossible. */
    #makeRoom(bytes: number, now: number, requester?: Unfinished): boolean {
        for (const body of this.#unfinished) {
            if (this.#heldBytes + bytes <= this.maxBytes || now - body.startedAt < MIN_UNFINISHED_MS) {
                break;
            }
            if (body !== requester) {
                this.#evictedCount += 1;
                body.evict();
            }
        }
        const hasRoom = this.#heldBytes + bytes <= this.maxBytes;
        if (!hasRoom) {
            this.#refusedCount += 1;
        }
        return hasRoom;
    }
}
