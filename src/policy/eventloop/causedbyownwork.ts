/**
 * Decides whether a late timer was delayed by the daemon's own work, or because the process did not run.
 *
 * Timers run once in each turn of the event loop, so a late one means a long turn. A process that was stopped, or that
 * waited for a processor, has used little processor time meanwhile.
 */

/** Work of other threads counts too, so that less than the whole delay may be the event loop's. */
const MIN_CPU_SHARE = 0.5;

/** `delayMs` is how late the timer was; `cpuMs` is the processor time since the timer before it. */
export function causedByOwnWork(delayMs: number, cpuMs: number): boolean {
    return cpuMs >= delayMs * MIN_CPU_SHARE;
}
