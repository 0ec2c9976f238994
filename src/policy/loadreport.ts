/** What a gate tells of its upstream. */

/** Counts of requests and times in milliseconds; `serviceMs` is a fast average, `baseMs` a slow one. */
export type LoadReport = {
    readonly running: number;
    readonly waiting: number;
    readonly limit: number;
    readonly serviceMs: number;
    readonly baseMs: number;
};
