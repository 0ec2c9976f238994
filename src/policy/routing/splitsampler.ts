/**
 * Generates evenly spaced samples that select the services of a rule's split, so that even a few requests are split
 * according to the weights.
 *
 * The samples are the fractional parts of multiples of the golden ratio, from a random start at each daemon.
 * Independent random samples are as good on average, but with 200 requests to two services of equal weight, their
 * shares are off by a tenth once in 200 times.
 */
import type { RuleName } from "../../ids/rulename.js";
import type { RandomSource } from "../randomsource.js";

/** The fractional part of the golden ratio, the step that leaves the smallest gaps between samples. */
const GOLDEN_RATIO_FRACTION = (Math.sqrt(5) - 1) / 2;

/** The number of rules whose last sample is stored; limited, since rules change with the configuration. */
const MAX_RULES = 1024;

/** Holds a separate sequence for each rule. */
export class SplitSampler {
    readonly #lastByRule = new Map<RuleName, number>();

    constructor(private readonly random: RandomSource) {}

    /** Returns the next sample for a rule, from 0 up to but not including 1. */
    next(rule: RuleName): number {
        const sample = ((this.#lastByRule.get(rule) ?? this.random()) + GOLDEN_RATIO_FRACTION) % 1;
        this.#lastByRule.set(rule, sample);
        if (this.#lastByRule.size > MAX_RULES) {
            this.#lastByRule.delete(this.#lastByRule.keys().next().value!);
        }
        return sample;
    }
}
