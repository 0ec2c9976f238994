/**
 * The tokens of one team at a daemon.
 *
 * Prefetched tokens have one common expiry, which each answer of the counter extends. Tokens for waiting requests that
 * are left over because the requests have ended can be used until they expire. Times are milliseconds on the daemon's
 * clock, and count from the time at which the tokens were requested.
 */
import { quotaTimes } from "./quotatimes.js";

type Batch = { count: number; readonly until: number; };

export class HeldTokens {
    #batches: Batch[] = [];
    #spares = 0;
    #sparesUntil = -Infinity;

    /** Returns the number of prefetched tokens that are valid. */
    spares(now: number): number {
        return now < this.#sparesUntil ? this.#spares : 0;
    }

    /** The time at which the prefetched tokens expire. */
    get sparesUntil(): number {
        return this.#sparesUntil;
    }

    /** Takes a token; returns false if none is valid. */
    take(now: number): boolean {
        this.#batches = this.#batches.filter(({ count, until }) => count > 0 && now < until);
        const [oldest] = this.#batches;
        if (oldest !== undefined) {
            oldest.count -= 1;
            return true;
        }
        if (this.spares(now) > 0) {
            this.#spares -= 1;
            return true;
        }
        return false;
    }

    /** Adds tokens for waiting requests, requested at `askedAt`. */
    addGranted(count: number, askedAt: number): void {
        if (count > 0) {
            this.#batches.push({ count, until: askedAt + quotaTimes.wantedMs });
        }
    }

    /** Applies the number of prefetched tokens that the counter allows, of which `held` were held at `askedAt`. */
    setSpares(allowed: number, held: number, askedAt: number, now: number): void {
        if (allowed > 0) {
            this.#spares = Math.min(this.spares(now), held, allowed) + Math.max(0, allowed - held);
            this.#sparesUntil = askedAt + quotaTimes.spareMs;
        }
    }
}
