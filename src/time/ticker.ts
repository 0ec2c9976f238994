/** Calls a function periodically. */
import { tickMs } from "./tickms.js";
import { tickSource } from "./ticksource.js";

/**
 * `intervalMs` is in milliseconds. Tickers whose interval is a multiple of the tick share a timer and are up to half a
 * tick early or late; the others have a timer of their own.
 */
export class Ticker {
    readonly #listener = (now: number): void => this.#tick(now);
    #timer: NodeJS.Timeout | undefined;
    #dueAt = 0;

    constructor(private readonly intervalMs: number, private readonly callback: () => void) {}

    /** Starts the ticker, or restarts it; the first call follows after one interval. */
    start(): void {
        this.stop();
        if (this.intervalMs % tickMs === 0) {
            this.#dueAt = tickSource.now + this.intervalMs;
            tickSource.add(this.#listener);
            return;
        }
        this.#timer = setInterval(this.callback, this.intervalMs);
    }

    stop(): void {
        clearInterval(this.#timer);
        this.#timer = undefined;
        tickSource.remove(this.#listener);
    }

    /** Calls missed while the process was stopped are not made up for. */
    #tick(now: number): void {
        if (now < this.#dueAt - tickMs / 2) {
            return;
        }
        this.#dueAt = Math.max(this.#dueAt + this.intervalMs, now + this.intervalMs - tickMs / 2);
        this.callback();
    }
}
