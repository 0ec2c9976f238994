/** The monotonic time of a process. */

/** Returns milliseconds since the process started; never goes back, and goes on while the process is paused. */
export type Clock = () => number;
