/** Randomness, handed to whatever decides by it. */

/** Returns a number from 0 up to and not 1. */
export type RandomSource = () => number;
