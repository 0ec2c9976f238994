/**
 * Limits spending to a rate: in any second, at most `ratePerSecond` tokens and `burst` more.
 *
 * The bucket fills at `ratePerSecond` up to `burst`; only the tokens that it holds can be spent. Times are
 * milliseconds.
 */
export class TokenBucket {
    #tokens: number;
    #filledAt: number;

    constructor(private readonly ratePerSecond: number, private readonly burst: number, now: number) {
        this.#tokens = burst;
        this.#filledAt = now;
    }

    /** Spends `cost` tokens; returns false, and spends nothing, if the bucket holds fewer. */
    spend(cost: number, now: number): boolean {
        const elapsedMs = Math.max(0, now - this.#filledAt);
        this.#tokens = Math.min(this.burst, this.#tokens + elapsedMs * this.ratePerSecond / 1000);
        this.#filledAt = now;
        if (this.#tokens < cost) {
            return false;
        }
        this.#tokens -= cost;
        return true;
    }
}
