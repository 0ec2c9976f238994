/** A baseline: any upstream. */
import type { Candidate } from "./candidate.js";
import { Placement } from "./placement.js";
import type { RandomSource } from "./randomsource.js";

/** Chooses at random. */
export class RandomPlacement extends Placement {
    choose(candidates: readonly Candidate[], _now: number, random: RandomSource): Candidate | undefined {
        return candidates[Math.floor(random() * candidates.length)];
    }
}
