/** When an ingress leaves a gate alone that does not answer. */

const FIRST_MS = 1000;
const LONGEST_MS = 8000;

/**
 * Ends with any sign of life, such as the answer to a ping. Without one, a single request tries the gate after a pause
 * that doubles with each failure in a row.
 */
export class Suspicion {
    #failures = 0;
    #until = 0;

    /** True from the first failure to the next sign of life. */
    get suspected(): boolean {
        return this.#failures > 0;
    }

    /** True while nothing should be sent there. */
    active(now: number): boolean {
        return now < this.#until;
    }

    /** Takes in that it did not answer. */
    fail(now: number): void {
        if (this.active(now) && this.suspected) {
            return;
        }
        this.#until = now + this.#pauseMs();
        this.#failures += 1;
    }

    /** Takes in that a request is sent there; while it is suspected, no other follows for a while. */
    probe(now: number): void {
        if (this.suspected) {
            this.#until = Math.max(this.#until, now + this.#pauseMs());
        }
    }

    /** Takes in a sign of life. */
    clear(): void {
        this.#failures = 0;
        this.#until = 0;
    }

    #pauseMs(): number {
        return Math.min(LONGEST_MS, FIRST_MS * 2 ** this.#failures);
    }
}
