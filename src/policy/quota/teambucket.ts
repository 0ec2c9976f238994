/**
 * The token bucket of a team at a counter. Its rate and depth are scaled by the shares that are leased to the counter.
 *
 * The bucket starts empty: the tokens of a former counter may still be in use. The owner calls `fill` before the scale
 * changes and `cut` afterwards, so that a bucket holds no tokens of shares that are leased elsewhere.
 */
import type { quotaLimit } from "./quotalimit.js";

type QuotaLimit = ReturnType<typeof quotaLimit>;

const MS_PER_SECOND = 1000;

/** Times are milliseconds on the counter's clock; `scale` is the leased part of all shares, from 0 to 1. */
export class TeamBucket {
    #tokens = 0;
    #filledAt: number;

    constructor(private limit: QuotaLimit, now: number) {
        this.#filledAt = now;
    }

    get limits(): QuotaLimit {
        return this.limit;
    }

    get tokens(): number {
        return this.#tokens;
    }

    /** Adds the tokens since the last call. */
    fill(scale: number, now: number): void {
        const elapsedMs = Math.max(0, now - this.#filledAt);
        this.#filledAt = Math.max(this.#filledAt, now);
        this.#tokens += elapsedMs * this.limit.ratePerSecond * scale / MS_PER_SECOND;
        this.cut(scale);
    }

    /** Removes the tokens beyond the scaled depth. */
    cut(scale: number): void {
        this.#tokens = Math.min(this.#tokens, this.limit.depth * scale);
    }

    /** Takes up to `count` whole tokens and returns their number; at least `keep` tokens are left. */
    take(count: number, keep: number): number {
        const taken = Math.max(0, Math.min(count, Math.floor(this.#tokens - keep)));
        this.#tokens -= taken;
        return taken;
    }

    /** Adds returned tokens. */
    restore(count: number, scale: number): void {
        this.#tokens += count;
        this.cut(scale);
    }

    /** Applies a new limit; the present tokens beyond its depth are removed. */
    setLimit(limit: QuotaLimit, scale: number): void {
        this.limit = limit;
        this.cut(scale);
    }

    /**
     * Returns the time in milliseconds until tokens for one request and for `others` that were refused lately have come
     * free; Infinity if none will.
     */
    dueMs(scale: number, others: number): number {
        const missing = Math.max(0, 1 + others - this.#tokens);
        const isReachable = this.limit.depth * scale >= 1 && this.limit.ratePerSecond > 0;
        return missing === 0
            ? 0
            : isReachable
            ? missing * MS_PER_SECOND / (this.limit.ratePerSecond * scale)
            : Infinity;
    }
}
