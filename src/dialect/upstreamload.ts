/** What an upstream tells of itself. */

/** Requests that run and wait there; `pace` is how long work takes now, 1 as usual, 2 twice as long. */
export type UpstreamLoad = {
    readonly running: number;
    readonly waiting: number;
    readonly slots: number;
    readonly pace: number;
};
