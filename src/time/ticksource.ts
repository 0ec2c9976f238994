/**
 * Calls all tickers of the process from one timer.
 *
 * Each wake-up of an idle process costs processor time: with timers of their own, the periodic tasks of a daemon woke it
 * up 58 times a second instead of 20.
 */
import { tickMs } from "./tickms.js";

/** Called at each tick. */
type TickListener = () => void;

/** The timer runs while there are listeners. */
class TickSource {
    readonly #listeners = new Set<TickListener>();
    #timer: NodeJS.Timeout | undefined;

    add(listener: TickListener): void {
        this.#listeners.add(listener);
        this.#timer ??= setInterval(() => this.#tick(), tickMs);
    }

    remove(listener: TickListener): void {
        this.#listeners.delete(listener);
        if (this.#listeners.size === 0) {
            clearInterval(this.#timer);
            this.#timer = undefined;
        }
    }

    #tick(): void {
        this.#listeners.forEach(listener => listener());
    }
}

/** The source of this process. */
export const tickSource = new TickSource();
