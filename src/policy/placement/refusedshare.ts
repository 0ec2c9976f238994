/** Measures which share of an ingress's attempts was refused for load lately. Times are milliseconds. */

/** Time constant with which results are forgotten: several requests of one ingress, and short to a swing of 15 s. */
const MEMORY_MS = 3000;
/** Attempts, as weighted by age, that count as not refused, so that one refusal alone shows nothing. */
const PRIOR_ATTEMPTS = 1;

/** Counts attempts and refusals, weighted by their age. */
export class RefusedShare {
    #attempts = 0;
    #refused = 0;
    #decayedAt = 0;

    record(isRefused: boolean, now: number): void {
        this.#decay(now);
        this.#attempts += 1;
        this.#refused += Number(isRefused);
    }

    /** Returns the share at `now`, 0 without recent attempts. */
    at(now: number): number {
        this.#decay(now);
        return this.#refused / (this.#attempts + PRIOR_ATTEMPTS);
    }

    #decay(now: number): void {
        const weight = Math.exp((this.#decayedAt - now) / MEMORY_MS);
        this.#attempts *= weight;
        this.#refused *= weight;
        this.#decayedAt = now;
    }
}
