/** Computes exponential backoff after failures in a row. */

const INITIAL_DELAY_MS = 250;
/** Also the longest time until a store that has recovered is called again. */
const MAX_DELAY_MS = 2000;

/** Each delay is twice the one before, up to a maximum. */
export class Backoff {
    #delayMs = INITIAL_DELAY_MS;

    /** Records a failure and returns the delay until the next attempt, in milliseconds. */
    nextDelayMs(): number {
        const delayMs = this.#delayMs;
        this.#delayMs = Math.min(MAX_DELAY_MS, delayMs * 2);
        return delayMs;
    }

    /** Records a success: the next delay is the initial one. */
    reset(): void {
        this.#delayMs = INITIAL_DELAY_MS;
    }
}
