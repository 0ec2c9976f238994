/** A baseline: any upstream. */
import type { RandomSource } from "../randomsource.js";
import type { Candidate } from "./candidate.js";
import { Placement } from "./placement.js";

/** Chooses at random. */
export class RandomPlacement extends Placement {
    choose(candidates: readonly Candidate[], _now: number, random: RandomSource): Candidate | undefined {
        return candidates[Math.floor(random() * candidates.length)];
    }
}
