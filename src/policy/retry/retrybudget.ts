/**
 * May one more retry be afforded? Bounds what retries add to a service's load.
 *
 * Each success earns a share of a retry, a retry spends a whole one; what there is at the start is kept for failures, so a hedge
 * takes only what successes have earned beyond it.
 */

/** What may be saved up, as a multiple of what there is at the start; chosen, not measured. */
const MAX_SHARE = 5;

/** Of one service at one ingress. */
export class RetryBudget {
    #tokens: number;

    /** `burst` is how many there are at the start, before any success. */
    constructor(private readonly burst: number) {
        this.#tokens = burst;
    }

    /** Records one success; `ratio` is what it earns, in retries. */
    earn(ratio: number): void {
        this.#tokens = Math.min(MAX_SHARE * this.burst, this.#tokens + ratio);
    }

    /** What is left. */
    get left(): number {
        return this.#tokens;
    }

    /** Takes one for an attempt that is not needed, only from what successes have earned: the start is kept for failures. */
    spendSurplus(): boolean {
        return this.#tokens >= this.burst + 1 && this.spend();
    }

    /** Takes one retry; false when none is left. */
    spend(): boolean {
        if (this.#tokens < 1) {
            return false;
        }
        this.#tokens -= 1;
        return true;
    }
}
