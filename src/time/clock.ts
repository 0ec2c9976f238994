/** The monotonic time of a process. */

/** Returns milliseconds since the process started; never goes back, and goes on while the process is paused, or the host suspended. */
export type Clock = () => number;
