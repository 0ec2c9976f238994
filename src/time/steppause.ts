/** Defines the pause between two steps of long work. */

/** Returns a promise to wait for if the present step has taken its time, otherwise undefined. */
export type StepPause = () => Promise<void> | undefined;
