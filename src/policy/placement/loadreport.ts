/** Defines the load of an upstream as its gate reports it. */

/**
 * - `running`, `waiting`: numbers of running and queued requests.
 * - `limit`: number of requests that may run at a time.
 * - `serviceMs`, `baseMs`: a fast and a slow moving average of the service time, in milliseconds.
 * - `pace`: the upstream's own report of its present service time relative to its usual one, 1 as usual; undefined if
 *   the upstream does not report it.
 */
export type LoadReport = {
    readonly running: number;
    readonly waiting: number;
    readonly limit: number;
    readonly serviceMs: number;
    readonly baseMs: number;
    readonly pace?: number;
};
