/** When an ingress leaves a gate alone that does not answer. */

const FIRST_MS = 200;
const LONGEST_MS = 5000;

/** Doubles the pause with each failure in a row; one request at a time tries it after the pause. */
export class Suspicion {
    #failures = 0;
    #until = 0;

    /** True while nothing should be sent there. */
    active(now: number): boolean {
        return now < this.#until;
    }

    /** Takes in that it did not answer. */
    fail(now: number): void {
        if (this.active(now)) {
            return;
        }
        this.#until = now + Math.min(LONGEST_MS, FIRST_MS * 2 ** this.#failures);
        this.#failures += 1;
    }

    /** Takes in that it answered. */
    clear(): void {
        this.#failures = 0;
        this.#until = 0;
    }
}
