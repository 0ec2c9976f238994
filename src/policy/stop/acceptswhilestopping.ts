/**
 * Decides whether a stopping daemon accepts a request.
 *
 * Callers may use their connections until the process is gone, so requests arrive during the whole stop. After the
 * linger time, one is accepted only if its deadline lies before the time at which the stop cuts off what is in flight:
 * then it is answered before that time, whatever its upstream does. Calls are always accepted. They belong to a request
 * that is already running, and expire with it.
 */
import type { StopSchedule } from "./stopschedule.js";

/** `depth` is the number of calls that led to the request; `deadline` is in milliseconds on the daemon's clock. */
type StopCandidate = { readonly depth: number; readonly deadline: number; };

/** Returns true if the request is accepted. */
export function acceptsWhileStopping(
    { depth, deadline }: StopCandidate,
    { lingerEndsAt, limitAt }: StopSchedule,
    now: number,
): boolean {
    return depth > 0 || now < lingerEndsAt || deadline <= limitAt;
}
