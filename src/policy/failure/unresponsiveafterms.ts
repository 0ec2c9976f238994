/**
 * Decides after how many milliseconds a request is cancelled if its connection to the upstream may be unresponsive.
 *
 * Used only after another connection of this daemon was found to be unresponsive. Then a response that takes several
 * times the usual service time is more likely never to come. HTTP offers no way to check the connection itself. Without
 * such a finding, a request may use all of its time limit.
 */

/**
 * Multiple of the mean service time. Service times of rules differ about fivefold, and noisy neighbours slow work up to
 * fourfold.
 */
const SERVICE_TIME_FACTOR = 10;
/** Shorter delays occur now and then on a busy host. */
const MIN_TIMEOUT_MS = 300;

/**
 * Returns the time from sending the request, in milliseconds; `meanServiceMs` is the mean service time of its upstream.
 */
export function unresponsiveAfterMs(meanServiceMs: number): number {
    return Math.max(MIN_TIMEOUT_MS, SERVICE_TIME_FACTOR * meanServiceMs);
}
