/** How work varies from its mean in the models. */
import type { RandomSource } from "../randomsource.js";

/** Uniform draws whose sum is nearly normal, with a variance of 1: twelve, by each having a twelfth. */
const GAUSS_DRAWS = 12;
/** Standard deviation of the logarithm. */
const SPREAD = 0.3;

/** A factor, lognormal with the median 1; about normal by the sum of twelve draws. */
export function lognormal(random: RandomSource): number {
    let sum = -GAUSS_DRAWS / 2;
    for (let at = 0; at < GAUSS_DRAWS; at++) {
        sum += random();
    }
    return Math.exp(SPREAD * sum);
}
