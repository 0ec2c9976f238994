/** Defines the times of a planned stop, in milliseconds on the daemon's clock; planstop.ts decides them. */

/** The times of one stop. */
export type StopSchedule = {
    /** Until then, callers and peers are sent elsewhere, and requests are served as before. */
    readonly lingerEndsAt: number;
    /** Requests that are still in flight then are cut off. */
    readonly limitAt: number;
    /** The control tasks have to be stopped by then. */
    readonly exitAt: number;
};
