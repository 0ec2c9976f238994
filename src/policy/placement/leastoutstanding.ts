/** A baseline: the upstream with the fewest own requests outstanding. */
import type { RandomSource } from "../randomsource.js";
import type { Candidate } from "./candidate.js";
import { Placement } from "./placement.js";

/** Chooses the least own outstanding, at random among equals. */
export class LeastOutstanding extends Placement {
    choose(candidates: readonly Candidate[], _now: number, random: RandomSource): Candidate | undefined {
        const least = Math.min(...candidates.map(candidate => candidate.own));
        const best = candidates.filter(candidate => candidate.own === least);
        return best[Math.floor(random() * best.length)];
    }
}
