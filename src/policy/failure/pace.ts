/** How fast an upstream works at this moment, by its own word, and how long that word is believed. */

/** An upstream this many times slower than it has been is worth avoiding: moving a request costs far less. */
const SLOW = 1.5;
const USUAL = 1;

/** What the upstream said last; times in milliseconds on the daemon's clock. */
export class Pace {
    #pace = 1;
    /** A cold upstream is as slow as its siblings, which were started with it: it is held against its own best only. */
    #best = Infinity;
    #at = -Infinity;
    #known = false;

    /** `believeMs` is how long a word counts as the present. */
    constructor(private readonly believeMs: number) {}

    /** Takes in a word that was true at `now`. */
    observe(pace: number, now: number): void {
        this.#pace = pace;
        this.#best = Math.max(USUAL, Math.min(this.#best, pace));
        this.#at = now;
        this.#known = true;
    }

    /** The last word; undefined of an upstream that never says. */
    get last(): number | undefined {
        return this.#known ? this.#pace : undefined;
    }

    /** True when the upstream tells its pace and the last word is too old to decide by. */
    isStale(now: number): boolean {
        return this.#known && now - this.#at > this.believeMs;
    }

    /** True when the upstream is slow by a word not older than `at`. */
    isSlowSince(at: number): boolean {
        return this.#at >= at && this.#pace >= SLOW * this.#best;
    }

    /** True when the upstream is slow by a word that is still believed. */
    isSlow(now: number): boolean {
        return this.#known && !this.isStale(now) && this.#pace >= SLOW * this.#best;
    }
}
