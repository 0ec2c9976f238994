/** Samples how much work varies from its median in a simulation. */
import type { RandomSource } from "../randomsource.js";

/** A uniform sample has a variance of a twelfth, so the sum of twelve is nearly normal with a variance of 1. */
const UNIFORM_SAMPLES = 12;
const LOG_STANDARD_DEVIATION = 0.3;

/** Returns a factor from a lognormal distribution with the median 1. */
export function lognormal(random: RandomSource): number {
    let sum = -UNIFORM_SAMPLES / 2;
    for (let count = 0; count < UNIFORM_SAMPLES; count++) {
        sum += random();
    }
    return Math.exp(LOG_STANDARD_DEVIATION * sum);
}
