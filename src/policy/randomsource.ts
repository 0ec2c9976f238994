/** Returns a random number from 0 up to but not including 1; passed as an argument to all code that uses randomness. */
export type RandomSource = () => number;
