/** May this much be spent now? A hard budget: no second passes it by more than the burst. */

/** Fills at `rate` a second up to `burst`; what it does not hold can't be spent. */
export class TokenBucket {
    #tokens: number;
    #filledAt: number;

    constructor(private readonly rate: number, private readonly burst: number, now: number) {
        this.#tokens = burst;
        this.#filledAt = now;
    }

    /** Spends `cost` tokens; false, and spends nothing, when there are fewer. */
    spend(cost: number, now: number): boolean {
        const elapsedMs = Math.max(0, now - this.#filledAt);
        this.#tokens = Math.min(this.burst, this.#tokens + elapsedMs * this.rate / 1000);
        this.#filledAt = now;
        if (this.#tokens < cost) {
            return false;
        }
        this.#tokens -= cost;
        return true;
    }
}
