/** Baseline policy: the power of two random choices on the reported load (Mitzenmacher 2001). */
import type { RandomSource } from "../randomsource.js";
import type { Candidate } from "./candidate.js";
import { minBy } from "./minby.js";
import { Placement } from "./placement.js";
import { sample } from "./sample.js";

const CHOICES = 2;

const reportedLoad = (candidate: Candidate): number =>
    candidate.report === undefined ? 0 : candidate.report.running + candidate.report.waiting;

/** Samples two candidates and chooses the one with the lower load in its last report. */
export class TwoChoices extends Placement {
    choose(candidates: readonly Candidate[], _now: number, random: RandomSource): Candidate | undefined {
        return minBy(sample(candidates, CHOICES, random), reportedLoad);
    }
}
