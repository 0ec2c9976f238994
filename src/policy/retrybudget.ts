/** Bounds what retries add to a service's load. */

const START_TOKENS = 20;
const MAX_TOKENS = 100;

/** Each success earns a share of a retry; a retry spends a whole one. */
export class RetryBudget {
    #tokens = START_TOKENS;

    /** Takes in one success. */
    earn(ratio: number): void {
        this.#tokens = Math.min(MAX_TOKENS, this.#tokens + ratio);
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
