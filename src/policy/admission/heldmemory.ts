/**
 * Bounds the memory that all holders of a kind take together, and decides which of them gives up what it holds.
 *
 * Inputs are the bytes that each holder takes. If the sum exceeds the bound, the holder with the most bytes has to go:
 * a bound for each holder would not bound their sum, and among many ordinary holders the largest is the one that exceeds
 * what others need.
 */

/** Counts bytes by holder. */
export class HeldMemory<Holder extends object> {
    readonly #bytes = new Map<Holder, number>();
    #heldBytes = 0;

    constructor(readonly maxBytes: number) {}

    /** The bytes of all holders. */
    get heldBytes(): number {
        return this.#heldBytes;
    }

    /** Adds bytes, or subtracts them if `bytes` is negative. */
    add(holder: Holder, bytes: number): void {
        const total = (this.#bytes.get(holder) ?? 0) + bytes;
        this.#heldBytes += bytes;
        if (total > 0) {
            this.#bytes.set(holder, total);
        }
        else {
            this.#bytes.delete(holder);
        }
    }

    /** Forgets a holder and its bytes. */
    remove(holder: Holder): void {
        this.#heldBytes -= this.#bytes.get(holder) ?? 0;
        this.#bytes.delete(holder);
    }

    /** Returns the holder with the most bytes if the bound is exceeded. */
    excess(): Holder | undefined {
        if (this.#heldBytes <= this.maxBytes) {
            return undefined;
        }
        let largest: Holder | undefined;
        let largestBytes = 0;
        for (const [holder, bytes] of this.#bytes) {
            if (bytes > largestBytes) {
                largest = holder;
                largestBytes = bytes;
            }
        }
        return largest;
    }
}
