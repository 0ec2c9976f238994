/**
 * Decides for how long no requests are sent to an unresponsive gate.
 *
 * The pause ends with any response of the gate, such as the one to a ping. Without a response, a single request probes
 * the gate after a pause that doubles with each failure in a row. Times are milliseconds on the daemon's clock.
 */

/** The first pause; pings mostly find sooner that the gate responds again. */
const INITIAL_PAUSE_MS = 1000;
/** The longest pause, within which a restarted host is found again. */
const MAX_PAUSE_MS = 8000;

/** Holds the suspicion of one gate. */
export class Suspicion {
    #failures = 0;
    #pausedUntil = 0;

    /** True from the first failure to the next response. */
    get isSuspected(): boolean {
        return this.#failures > 0;
    }

    /** Returns true while no requests should be sent to the gate. */
    isActive(now: number): boolean {
        return now < this.#pausedUntil;
    }

    /** Records that the gate did not respond; further failures during a pause do not count. */
    recordFailure(now: number): void {
        if (this.isActive(now) && this.isSuspected) {
            return;
        }
        this.#pausedUntil = now + this.#pauseMs();
        this.#failures += 1;
    }

    /**
     * Records that a request is sent to the gate; if the gate is suspected, no other is sent for the length of a pause.
     */
    recordProbe(now: number): void {
        if (this.isSuspected) {
            this.#pausedUntil = Math.max(this.#pausedUntil, now + this.#pauseMs());
        }
    }

    /** Records a response, which ends the suspicion. */
    clear(): void {
        this.#failures = 0;
        this.#pausedUntil = 0;
    }

    #pauseMs(): number {
        return Math.min(MAX_PAUSE_MS, INITIAL_PAUSE_MS * 2 ** this.#failures);
    }
}
