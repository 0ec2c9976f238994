/** How many requests does an upstream have in work at once, as its ingresses should know it? */

/** Milliseconds. */
const MS_PER_SECOND = 1000;

/**
 * Its limit; of one that takes only `perSecond` as many as are under way when it is sent these and each takes `serviceMs` (Little's law).
 * `perSecond` is undefined of one that takes all that its slots allow.
 */
export function limitAtRate(limit: number, serviceMs: number, perSecond: number | undefined): number {
    if (perSecond === undefined) {
        return limit;
    }
    return Math.max(1, Math.min(limit, Math.round(perSecond * serviceMs / MS_PER_SECOND)));
}
