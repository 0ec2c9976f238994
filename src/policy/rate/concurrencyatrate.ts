/** Computes the limit of concurrent requests that a gate reports for a rate-limited upstream. */

const MS_PER_SECOND = 1000;

/**
 * Returns the number of requests in progress while `perSecond` requests a second are sent that take `serviceMs` each
 * (Little's law), from 1 to `limit`. Returns `limit` if `perSecond` is undefined, as the rate is not limited then.
 */
export function concurrencyAtRate(limit: number, serviceMs: number, perSecond: number | undefined): number {
    if (perSecond === undefined) {
        return limit;
    }
    return Math.max(1, Math.min(limit, Math.round(perSecond * serviceMs / MS_PER_SECOND)));
}
