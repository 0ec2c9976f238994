/**
 * Calls all tickers of the process from one timer.
 *
 * Each wake-up of an idle process costs processor time: with timers of their own, the periodic tasks of a daemon woke it
 * up 58 times a second instead of 20.
 */
import { processClock } from "./processclock.js";
import { tickMs } from "./tickms.js";

/** Called at each tick with the time of the source, in milliseconds. */
type TickListener = (now: number) => void;

/** The timer runs while there are listeners. The time of the source advances with its ticks. */
class TickSource {
    readonly #listeners = new Set<TickListener>();
    #timer: NodeJS.Timeout | undefined;
    #now = 0;
    #tickedAt = 0;

    get now(): number {
        return this.#now;
    }

    /** Starts the timer again for each listener, so that it is one of the timers in use, also where tests replace them. */
    add(listener: TickListener): void {
        if (this.#listeners.size === 0) {
            this.#tickedAt = processClock();
        }
        this.#listeners.add(listener);
        clearInterval(this.#timer);
        this.#timer = setInterval(() => this.#tick(), tickMs);
    }

    remove(listener: TickListener): void {
        this.#listeners.delete(listener);
        if (this.#listeners.size === 0) {
            clearInterval(this.#timer);
            this.#timer = undefined;
        }
    }

    /** Counts a late tick with its delay, so that tickers keep their intervals on a slow host. */
    #tick(): void {
        const clockNow = processClock();
        this.#now += Math.max(tickMs, clockNow - this.#tickedAt);
        this.#tickedAt = clockNow;
        this.#listeners.forEach(listener => listener(this.#now));
    }
}

/** The source of this process. */
export const tickSource = new TickSource();
