/**
 * Decides whether a request that could start waits until its slow upstream recovers. Times are in milliseconds.
 *
 * Upstreams share their machines with other processes and sometimes work several times slower for a moment. A request
 * that starts then occupies its slot for several times as long, which delays it and the requests queued behind it. It
 * waits if that costs less time than starting: this is so for long work, but not for short work.
 */

/**
 * The work takes `workMs` at the usual pace and `slowdown` times that if it starts now; the upstream stays slow for
 * `slowForMs` more.
 */
type WaitInput = { readonly workMs: number; readonly slowdown: number; readonly slowForMs: number; };

/** Returns true if starting now costs more time than waiting for the end of the slow period. */
export function shouldWaitForPace({ workMs, slowdown, slowForMs }: WaitInput): boolean {
    return (slowdown - 1) * workMs > slowForMs;
}
