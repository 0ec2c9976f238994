/** What a gate reports of its upstream. */

/**
 * Counts of requests and times in milliseconds; `serviceMs` is a fast average, `baseMs` a slow one; `pace` is the
 * upstream's own report of how long work takes now, 1 as usual, undefined when it never reports it.
 */
export type LoadReport = {
    readonly running: number;
    readonly waiting: number;
    readonly limit: number;
    readonly serviceMs: number;
    readonly baseMs: number;
    readonly pace?: number;
};
