/** Calls a function periodically. */

/** Owns the timer. `intervalMs` is in milliseconds. */
export class Ticker {
    #timer: NodeJS.Timeout | undefined;

    constructor(private readonly intervalMs: number, private readonly callback: () => void) {}

    /** Starts the timer, or restarts it; the first call follows after one interval. */
    start(): void {
        this.stop();
        this.#timer = setInterval(this.callback, this.intervalMs);
    }

    stop(): void {
        clearInterval(this.#timer);
        this.#timer = undefined;
    }
}
