/** A baseline: the power of two random choices on reported load (Mitzenmacher 2001). */
import type { RandomSource } from "../randomsource.js";
import type { Candidate } from "./candidate.js";
import { lowest } from "./lowest.js";
import { Placement } from "./placement.js";
import { sample } from "./sample.js";

/** As the policy's name says. */
const CHOICES = 2;

const reportedLoad = (candidate: Candidate): number =>
    candidate.report === undefined ? 0 : candidate.report.running + candidate.report.waiting;

/** Draws two and takes the one whose last report shows less. */
export class TwoChoices extends Placement {
    choose(candidates: readonly Candidate[], _now: number, random: RandomSource): Candidate | undefined {
        return lowest(sample(candidates, CHOICES, random), reportedLoad);
    }
}
