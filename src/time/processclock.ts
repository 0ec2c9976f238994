/**
 * The clock of this process.
 *
 * The steady clock stands still while the host is suspended, and so does every timer; the host's uptime does not. Whatever is believed by
 * its age (a lease, a report, a deadline, who watches the store) would be taken for younger than it is on waking. So the time for which
 * the host was suspended is added, and a suspended host is to the rest of the daemon what a stopped process is.
 */
import { uptime } from "node:os";
import { performance } from "node:perf_hooks";
import type { Clock } from "./clock.js";

/** Milliseconds. */
const MS_PER_SECOND = 1000;
/** The uptime is read at most so often, in milliseconds of activity: it takes 3 microseconds. */
const READ_EVERY_MS = 50;
/** The uptime has steps of 10 ms; a suspension that is shorter than this makes no difference to anything. Milliseconds. */
const LEAST_MS = 100;

/** Steady: the time of day may jump, this does not. Both sources are in milliseconds. */
export class ProcessClock {
    readonly #offsetMs: number;
    #readAt: number;
    #suspendedMs = 0;
    #listener: (ms: number) => void = () => {};

    constructor(
        private readonly steady: () => number = () => performance.now(),
        private readonly uptimeMs: () => number = () => uptime() * MS_PER_SECOND,
    ) {
        this.#readAt = steady();
        this.#offsetMs = uptimeMs() - this.#readAt;
    }

    /** Calls the listener with the milliseconds for which the host was suspended, once that is found. */
    onSuspended(listener: (ms: number) => void): void {
        this.#listener = listener;
    }

    /** The time as far as known: a suspension is found within READ_EVERY_MS of activity after it. */
    readonly now: Clock = () => {
        const steady = this.steady();
        return steady - this.#readAt < READ_EVERY_MS ? steady + this.#suspendedMs : this.exact();
    };

    /** The time with any suspension before it: for what must not happen late. */
    readonly exact: Clock = () => {
        const steady = this.steady();
        this.#readAt = steady;
        const suspendedMs = this.uptimeMs() - steady - this.#offsetMs;
        const moreMs = suspendedMs - this.#suspendedMs;
        if (moreMs >= LEAST_MS) {
            this.#suspendedMs = suspendedMs;
            this.#listener(moreMs);
        }
        return steady + this.#suspendedMs;
    };
}
