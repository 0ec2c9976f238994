/**
 * Decides the times of a planned stop. All are milliseconds on the daemon's clock.
 *
 * A supervisor that ends the process some time after SIGTERM states that time (the grace time). Requests in flight get
 * all of it but a reserve, in which peers are notified of the end and the last log lines are written.
 */
import type { StopSchedule } from "./stopschedule.js";

/** The settings of a stop: `lingerMs` and `limitMs` in milliseconds, `graceS` in seconds. */
type StopSettings = {
    readonly lingerMs: number;
    /** Applies after the linger time if no grace time is given. */
    readonly limitMs: number;
    /** The time from SIGTERM until the supervisor kills the process. */
    readonly graceS?: number | undefined;
};

const MS_PER_SECOND = 1000;
/** The share of the grace time that is reserved, and its upper bound in milliseconds. */
const RESERVE_SHARE = 1 / 8;
const MAX_RESERVE_MS = 1000;
/** The part of the reserve that is left for the last log lines. */
const LOG_SHARE = 1 / 2;
/** The largest share of the grace time for which callers are sent elsewhere. */
const MAX_LINGER_SHARE = 1 / 2;

/** Returns the schedule of a stop that begins at `startedAt`. */
export function planStop({ lingerMs, limitMs, graceS }: StopSettings, startedAt: number): StopSchedule {
    if (graceS === undefined) {
        const limitAt = startedAt + lingerMs + limitMs;
        return { lingerEndsAt: startedAt + lingerMs, limitAt, exitAt: limitAt + MAX_RESERVE_MS };
    }
    const graceMs = graceS * MS_PER_SECOND;
    const reserveMs = Math.min(MAX_RESERVE_MS, graceMs * RESERVE_SHARE);
    return {
        lingerEndsAt: startedAt + Math.min(lingerMs, graceMs * MAX_LINGER_SHARE),
        limitAt: startedAt + graceMs - reserveMs,
        exitAt: startedAt + graceMs - reserveMs * LOG_SHARE,
    };
}
