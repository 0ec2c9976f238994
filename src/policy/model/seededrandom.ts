/** A small generator of random numbers, so that runs are reproducible. */
import type { RandomSource } from "../randomsource.js";

/** Returns a generator with the given seed (mulberry32). */
export function seededRandom(seed: number): RandomSource {
    let state = seed >>> 0;
    return () => {
        state = (state + 0x6d2b79f5) >>> 0;
        let value = Math.imul(state ^ (state >>> 15), state | 1);
        value ^= value + Math.imul(value ^ (value >>> 7), value | 61);
        return ((value ^ (value >>> 14)) >>> 0) / 2 ** 32;
    };
}
