/**
 * Remembers the ids of the requests that a connection has carried.
 *
 * An id is kept until no attempt with it can be sent any more, which is shortly after the deadline of its request.
 */

/** Longest time by which the deadlines of two attempts with the same id differ: ingresses estimate the gate's clock. */
const MAX_CLOCK_ERROR_MS = 1000;
/** Sizes below this one are not swept. */
const MIN_SWEEP_IDS = 64;

/** It does no I/O and reads no clock; times are in milliseconds on any clock. */
export class CarriedIds {
    readonly #deadlines = new Map<string, number>();
    #sweepAtIds = MIN_SWEEP_IDS;

    /** Records that the request with this id was written. */
    add(id: string, deadline: number, now: number): void {
        this.#deadlines.set(id, deadline);
        if (this.#deadlines.size >= this.#sweepAtIds) {
            this.#evictExpired(now);
            this.#sweepAtIds = Math.max(MIN_SWEEP_IDS, 2 * this.#deadlines.size);
        }
    }

    has(id: string): boolean {
        return this.#deadlines.has(id);
    }

    #evictExpired(now: number): void {
        for (const [id, deadline] of this.#deadlines) {
            if (now >= deadline + MAX_CLOCK_ERROR_MS) {
                this.#deadlines.delete(id);
            }
        }
    }
}
