/** Calls a function periodically. */
import { tickMs } from "./tickms.js";
import { tickSource } from "./ticksource.js";

/**
 * `intervalMs` is in milliseconds. Tickers whose interval is a multiple of the tick share a timer, so that their first
 * call is up to a tick early; the others have a timer of their own.
 */
export class Ticker {
    readonly #listener = (): void => this.#tick();
    #timer: NodeJS.Timeout | undefined;
    #remainingTicks = 0;

    constructor(private readonly intervalMs: number, private readonly callback: () => void) {}

    /** Starts the ticker, or restarts it; the first call follows after one interval. */
    start(): void {
        this.stop();
        if (this.intervalMs % tickMs === 0) {
            this.#remainingTicks = this.intervalMs / tickMs;
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
    #tick(): void {
        this.#remainingTicks -= 1;
        if (this.#remainingTicks <= 0) {
            this.#remainingTicks = this.intervalMs / tickMs;
            this.callback();
        }
    }
}
