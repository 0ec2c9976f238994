/**
 * Decides whether the event loop hardly waits: it polls again and again without a pause, or it has more work than
 * processor time. Many turns with few events mean the former.
 */

/** A daemon with more work than this leaves no time for other processes on its host. */
const MIN_WAITED_SHARE = 0.005;

/** Times in milliseconds, of the same interval. */
export function hardlyWaits(
    { elapsedMs, waitedMs }: { readonly elapsedMs: number; readonly waitedMs: number; },
): boolean {
    return waitedMs < elapsedMs * MIN_WAITED_SHARE;
}
