/** Defines the load report that an upstream sends about itself. */

/**
 * `running` and `queued` are the numbers of requests that run and that are queued at the upstream. `pace` is its
 * present service time relative to its usual one: 1 is as usual, 2 is twice as long.
 */
export type UpstreamLoad = {
    readonly running: number;
    readonly queued: number;
    readonly slots: number;
    readonly pace: number;
};
