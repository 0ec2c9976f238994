/** Lets changes of a value pass at most so often. */
export class ChangeThrottle<Value> {
    #passedAt = -Infinity;

    /** `passed` is the value that needs not pass; `everyMs` in milliseconds. */
    constructor(private readonly everyMs: number, private passed: Value) {}

    /** True when the value differs from the one that passed last, which was long enough ago; then it passes. */
    pass(value: Value, now: number): boolean {
        if (value === this.passed || now - this.#passedAt < this.everyMs) {
            return false;
        }
        this.passed = value;
        this.#passedAt = now;
        return true;
    }
}
