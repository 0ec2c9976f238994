/**
 * Bounds the time for which what is read now can have been unread.
 *
 * What arrives while the process does not run, or while it works, lies unread in the sockets, and nothing that is read shows
 * when it arrived. Whatever had arrived before the event loop last polled the sockets has been read, however long or
 * short the turns were.
 */
import { afterPoll } from "./afterpoll.js";
import type { Clock } from "./clock.js";
import { Ticker } from "./ticker.js";
import { tickMs } from "./tickms.js";

/** Observes the polls from `start` to `stop`; before and after, everything counts as read. */
export class UnreadMonitor {
    readonly #ticker = new Ticker(tickMs, () => void this.#expectPolls(this.clock()));
    #readUpTo: number | undefined;

    constructor(private readonly clock: Clock) {}

    start(): void {
        this.#readUpTo = this.clock();
        this.#ticker.start();
    }

    stop(): void {
        this.#readUpTo = undefined;
        this.#ticker.stop();
    }

    /**
     * Returns a time; all that had arrived on open connections before it has been read. In milliseconds on the daemon's
     * clock, at most `now`.
     */
    readUpTo(now: number): number {
        return this.#readUpTo ?? now;
    }

    /** From a timer, two polls are waited for: the end of a connection is read one poll after the bytes before it. */
    async #expectPolls(now: number): Promise<void> {
        await afterPoll();
        if (this.#readUpTo !== undefined) {
            this.#readUpTo = now;
        }
    }
}
