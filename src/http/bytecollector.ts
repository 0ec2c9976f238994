/**
 * Collects a body that arrives in chunks.
 *
 * The bytes are copied into one buffer, so that a body takes the memory of its bytes, however small its chunks are.
 */

/** The first capacity after a second chunk has arrived, in bytes. */
const MIN_CAPACITY_BYTES = 1024;

const EMPTY = Buffer.alloc(0);

/** Owns the collected bytes. A body that arrives in one chunk is not copied. */
export class ByteCollector {
    #buffer: Buffer = EMPTY;
    #size = 0;
    /** False while the buffer is the first chunk. */
    #isOwn = false;

    /** `expectedBytes` is the length of the body if it is known. */
    constructor(private readonly expectedBytes = 0) {}

    /** The number of bytes collected. */
    get size(): number {
        return this.#size;
    }

    /** The number of bytes that the buffer takes. */
    get capacity(): number {
        return this.#buffer.length;
    }

    /** Returns the collected bytes; no more may be added afterwards. */
    get bytes(): Buffer {
        return this.#buffer.subarray(0, this.#size);
    }

    add(chunk: Buffer): void {
        if (this.#size === 0) {
            this.#buffer = chunk;
            this.#size = chunk.length;
            return;
        }
        const size = this.#size + chunk.length;
        if (size > this.#buffer.length || !this.#isOwn) {
            this.#grow(size);
        }
        chunk.copy(this.#buffer, this.#size);
        this.#size = size;
    }

    #grow(minCapacity: number): void {
        const capacity = minCapacity <= this.expectedBytes
            ? this.expectedBytes
            : Math.max(MIN_CAPACITY_BYTES, minCapacity, 2 * this.#buffer.length);
        const grown = Buffer.allocUnsafeSlow(capacity);
        this.#buffer.copy(grown, 0, 0, this.#size);
        this.#buffer = grown;
        this.#isOwn = true;
    }
}
