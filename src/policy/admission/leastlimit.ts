/** How far down may a limit be kept? */

/** Of the slots: lower levels are not limits, so that a mistake never costs more than half. */
const LEAST_SHARE = 0.5;

/** The lowest limit for so many levels. */
export const leastLimit = (levels: number): number => Math.max(1, Math.ceil(levels * LEAST_SHARE));
