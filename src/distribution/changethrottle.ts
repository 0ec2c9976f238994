/** Limits how often changes of a value are propagated. */

/** Lets a changed value pass at most once in an interval. Times are in milliseconds. */
export class ChangeThrottle<Value> {
    #lastPassedAt = -Infinity;

    /** `lastPassed` is the initial value, which counts as passed. */
    constructor(private readonly intervalMs: number, private lastPassed: Value) {}

    /** Returns true, and records the value as passed, if it differs from the last one and the interval has elapsed. */
    pass(value: Value, now: number): boolean {
        if (value === this.lastPassed || now - this.#lastPassedAt < this.intervalMs) {
            return false;
        }
        this.lastPassed = value;
        this.#lastPassedAt = now;
        return true;
    }
}
