/**
 * Decides how many milliseconds are added to the expected response time of an upstream that fails, so that fast
 * failures do not look like fast responses.
 *
 * Each failure adds to the penalty and each success reduces it by a share. Placement lets it decay with time
 * (expectedtime.ts).
 */

/** Longer than a usual service time. */
const PENALTY_PER_FAILURE_MS = 50;
/** Bounds the penalty of many failures in a row. */
const MAX_PENALTY_MS = 1000;
/** Share of the penalty that remains after a success. */
const RETAINED_SHARE = 0.7;
/** A smaller penalty is reset to 0 by a success. */
const MIN_PENALTY_MS = 1;

/** Holds the penalty of one upstream and the moment of its last failure, in milliseconds on the daemon's clock. */
export class FailurePenalty {
    #ms = 0;
    #lastFailureAt = 0;

    get ms(): number {
        return this.#ms;
    }

    get lastFailureAt(): number {
        return this.#lastFailureAt;
    }

    recordFailure(now: number): void {
        this.#lastFailureAt = now;
        this.#ms = Math.min(MAX_PENALTY_MS, this.#ms + PENALTY_PER_FAILURE_MS);
    }

    recordSuccess(): void {
        this.#ms = this.#ms < MIN_PENALTY_MS ? 0 : this.#ms * RETAINED_SHARE;
    }
}
