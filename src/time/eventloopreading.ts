/** Defines what is read of the event loop and of the process; all values are totals since the start. */

/** Times in milliseconds. */
export type EventLoopReading = {
    /** The time of the reading on the daemon's clock. */
    readonly at: number;
    /** How long the event loop has waited for events. */
    readonly waitedMs: number;
    /** The processor time of the process, all threads together. */
    readonly cpuMs: number;
    /** The number of turns of the event loop; 0 if Node.js does not count them. */
    readonly turns: number;
    /** The number of events of sockets that the event loop has handled; 0 if Node.js does not count them. */
    readonly events: number;
};
