/** Baseline policy: places a request on a random upstream. */
import type { RandomSource } from "../randomsource.js";
import type { Candidate } from "./candidate.js";
import { Placement } from "./placement.js";

/** Chooses each candidate with the same probability. */
export class RandomPlacement extends Placement {
    choose(candidates: readonly Candidate[], _now: number, random: RandomSource): Candidate | undefined {
        return candidates[Math.floor(random() * candidates.length)];
    }
}
