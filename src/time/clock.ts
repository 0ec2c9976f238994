/** Defines a monotonic clock. */

/** Returns the milliseconds since the process started. Never goes back, and continues while the process is paused. */
export type Clock = () => number;
