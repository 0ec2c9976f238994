/**
 * Decides whether a request may cross to another region, by the bytes that this daemon has sent there lately.
 *
 * The inputs are the bound in bytes a second, the length of the request in bytes, and the bytes that were sent,
 * responses and control messages included. Only requests can be held back; all other bytes count against the bound, so
 * that the level may fall below 0.
 *
 * The bound is a fixed share of the link for each daemon: it needs no messages, and it holds while daemons are cut off
 * from each other. docs/design/regions.md compares the alternatives.
 */

/**
 * Time in which the unused bound accumulates. Longer than the time between large bodies at one daemon: with one second,
 * a body of 360 KB at 100 KB/s would hold back all other requests for 3 s.
 */
const BURST_SECONDS = 5;
/** Share of the largest level from which a body longer than the level may cross, which it then makes negative. */
const LARGE_BODY_SHARE = 0.5;
const MS_PER_SECOND = 1000;

/** Holds the level of one daemon; times are milliseconds on the daemon's clock. */
export class CrossingBudget {
    #level: number;
    #updatedAt: number;

    constructor(private readonly bytesPerSecond: number, now: number) {
        this.#level = this.#maxLevel;
        this.#updatedAt = now;
    }

    /** Records the bytes that were sent since the last call. */
    record(sentBytes: number, now: number): void {
        const filled = Math.max(0, now - this.#updatedAt) * this.bytesPerSecond / MS_PER_SECOND;
        this.#level = Math.min(this.#maxLevel, this.#level + filled - sentBytes);
        this.#updatedAt = now;
    }

    /** Returns true if a request of this length may cross at the time of the last record. */
    allows(bytes: number): boolean {
        return this.#level > 0 && this.#level >= Math.min(bytes, this.#maxLevel * LARGE_BODY_SHARE);
    }

    get #maxLevel(): number {
        return this.bytesPerSecond * BURST_SECONDS;
    }
}
