/**
 * Decides how many tokens of a team a daemon prefetches, from the rate of the team's requests there.
 *
 * Prefetching serves teams that use this daemon regularly. A token that is prefetched for a team with rare requests
 * would expire unused.
 */
import { quotaTimes } from "./quotatimes.js";

/** Time constant of the mean rate, in milliseconds. */
const MEMORY_MS = 5000;
/** Least number of requests expected in the lifetime of a prefetched token. */
const MIN_EXPECTED = 1;
/** Bounds what one daemon holds, so that it leaves tokens for the others. */
const MAX_SPARES = 8;

/** Times are milliseconds on the daemon's clock. */
export class TeamDemand {
    #weight = 0;
    #at = 0;

    /** Records a request. */
    record(now: number): void {
        this.#weight = this.#decayed(now) + 1;
        this.#at = now;
    }

    /** Returns the number of tokens to hold. */
    wantedSpares(now: number): number {
        const expected = this.#decayed(now) * quotaTimes.spareMs / MEMORY_MS;
        return expected < MIN_EXPECTED ? 0 : Math.min(MAX_SPARES, Math.ceil(expected));
    }

    #decayed(now: number): number {
        return this.#weight * Math.exp((this.#at - now) / MEMORY_MS);
    }
}
