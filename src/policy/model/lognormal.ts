/** How work varies from its mean in the models. */
import type { RandomSource } from "../randomsource.js";

/** Uniform draws whose sum is nearly normal, with a variance of 1: twelve, by each having a twelfth. */
const UNIFORM_SAMPLES = 12;
/** Standard deviation of the logarithm. */
const LOG_STANDARD_DEVIATION = 0.3;

/** A factor, lognormal with the median 1; about normal by the sum of twelve draws. */
export function lognormal(random: RandomSource): number {
    let sum = -UNIFORM_SAMPLES / 2;
    for (let count = 0; count < UNIFORM_SAMPLES; count++) {
        sum += random();
    }
    return Math.exp(LOG_STANDARD_DEVIATION * sum);
}
