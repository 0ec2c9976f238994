/** Bounds learned limits from below. */

/** Lowest limit as a share of the levels; a wrong limit thus never costs more than half of the slots. */
const MIN_LIMIT_SHARE = 0.5;

/** Returns the lowest limit of an upstream with this number of levels. */
export const minLimit = (levels: number): number => Math.max(1, Math.ceil(levels * MIN_LIMIT_SHARE));
