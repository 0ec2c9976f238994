/** Groups numbers of concurrent requests into a bounded number of levels. */

/** Bounds the memory of each running request; more levels would not locate the knee better. */
const MAX_LEVELS = 64;

/** Returns the number of concurrent requests per level: 1, unless there are more slots than levels. */
export const levelSize = (slots: number): number => Math.ceil(slots / MAX_LEVELS);
