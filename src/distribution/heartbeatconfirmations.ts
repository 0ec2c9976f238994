/**
 * Decides what heartbeats prove about the age of the configuration, and when a confirmation is passed on at once.
 *
 * A heartbeat states the age at the time of sending. After a pause of the process, heartbeats are read that have waited
 * in the socket for an unknown time, so under strict revocation they confirm nothing.
 */
import { ChangeThrottle } from "./changethrottle.js";

/** Interval at which the owner calls `tick`, in milliseconds. */
const TICK_MS = 200;
/** Delay of a tick, in milliseconds, from which on a pause is assumed; keyedAgeLimitMs allows for it. */
const PAUSE_MS = 2 * TICK_MS;

/** `intervalMs` is the interval of confirmations under strict revocation; undefined if it is not in force. */
export class HeartbeatConfirmations {
    readonly #throttle: ChangeThrottle<number> | undefined;
    #lastTickAt = -Infinity;
    #lateUntil = -Infinity;

    constructor(private readonly intervalMs: number | undefined) {
        this.#throttle = intervalMs === undefined ? undefined : new ChangeThrottle(intervalMs / 2, -Infinity);
    }

    /** Records that the event loop handles timers at this time. */
    tick(now: number): void {
        if (now - this.#lastTickAt > PAUSE_MS) {
            this.#lateUntil = now + TICK_MS;
        }
        this.#lastTickAt = now;
    }

    /** Returns the time for which a heartbeat that states this age confirms the configuration; -Infinity for none. */
    confirmedAt(ageMs: number, now: number): number {
        const mayBeLate = now - this.#lastTickAt > PAUSE_MS || now < this.#lateUntil;
        return this.intervalMs !== undefined && mayBeLate ? -Infinity : now - ageMs;
    }

    /** Returns true if a watcher is to send heartbeats at once, since the store has confirmed the configuration. */
    shouldSend(confirmedAt: number, now: number): boolean {
        return this.#throttle?.pass(confirmedAt, now) === true;
    }
}
