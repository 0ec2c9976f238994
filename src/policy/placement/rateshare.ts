/**
 * Decides how often this ingress sends requests to an upstream with a stated rate limit, in requests a second.
 *
 * The number of ingresses that share the limit is unknown. Each ingress starts with the full rate, halves its rate when
 * the gate refuses a request, and raises it a little with each response. So the limit is used, and few requests are
 * refused. Slots and service times do not show the limit: such an upstream looks idle, because few requests run there
 * and none are queued.
 */

const MS_PER_SECOND = 1000;
/** Multiplies the interval between requests after a refusal by the gate. */
const BACKOFF_FACTOR = 2;
/** Multiplies the interval between requests after a response. */
const RECOVERY_FACTOR = 0.8;
/** Longest interval between requests, also after many refusals. */
const MAX_INTERVAL_MS = 5000;
/**
 * An ingress that has not used its share for this long sends its next request there, even if other upstreams are
 * faster.
 */
const PROBE_AFTER_MS = 2000;

/** Holds the share that one ingress uses of one upstream's limit; times are milliseconds on the daemon's clock. */
export class RateShare {
    #perSecond: number | undefined;
    #intervalMs = 0;
    #nextSendAt = -Infinity;
    #backedOffUntil = -Infinity;

    /**
     * Sets the stated rate limit; undefined while the upstream states none. A changed limit starts again with the full
     * rate.
     */
    setLimit(perSecond: number | undefined, now: number): void {
        if (perSecond === this.#perSecond) {
            return;
        }
        this.#perSecond = perSecond;
        this.#intervalMs = this.#minIntervalMs;
        this.#nextSendAt = perSecond === undefined ? -Infinity : now + this.#intervalMs;
    }

    /** Returns false while this ingress has used its share. */
    maySend(now: number): boolean {
        return now >= this.#nextSendAt;
    }

    /** Returns true if this ingress has sent nothing for so long that it would not notice that the limit was lifted. */
    isProbeDue(now: number): boolean {
        return this.#perSecond !== undefined && now >= this.#nextSendAt + PROBE_AFTER_MS;
    }

    recordSent(now: number): void {
        if (this.#perSecond !== undefined) {
            this.#nextSendAt = now + this.#intervalMs;
        }
    }

    recordResponse(): void {
        this.#intervalMs = Math.max(this.#minIntervalMs, this.#intervalMs * RECOVERY_FACTOR);
    }

    /** Records a refusal by the gate; refusals of requests that were in flight together count once. */
    recordRefusal(now: number): void {
        if (now >= this.#backedOffUntil) {
            this.#intervalMs = Math.min(MAX_INTERVAL_MS, this.#intervalMs * BACKOFF_FACTOR);
            this.#backedOffUntil = now + this.#intervalMs;
        }
        this.recordSent(now);
    }

    /** Interval between two requests of an ingress that does not share the limit. */
    get #minIntervalMs(): number {
        return this.#perSecond === undefined ? 0 : Math.min(MAX_INTERVAL_MS, MS_PER_SECOND / this.#perSecond);
    }
}
