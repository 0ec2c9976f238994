/**
 * Detects that the process did not run for a while: it was stopped, got no processor time, or one turn of its event loop
 * took long.
 *
 * What arrived meanwhile lies unread in the sockets and in the queues of new connections, and nothing that is read shows
 * when it arrived.
 */
import type { Clock } from "./clock.js";
import { Ticker } from "./ticker.js";
import { tickMs } from "./tickms.js";

/** Observes the event loop from `start` to `stop`. */
export class StallMonitor {
    readonly #ticker = new Ticker(tickMs, () => this.#ranAt = this.clock());
    /** The last time at which the event loop is known to have run; undefined while it is not observed. */
    #ranAt: number | undefined;

    constructor(private readonly clock: Clock) {}

    start(): void {
        this.#ranAt = this.clock();
        this.#ticker.start();
    }

    stop(): void {
        this.#ranAt = undefined;
        this.#ticker.stop();
    }

    /** Returns the longest time for which what is read now can have been unread, in milliseconds. */
    maxUnreadMs(now: number): number {
        return this.#ranAt === undefined ? 0 : now - this.#ranAt;
    }
}
