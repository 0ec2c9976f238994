/** Which upstream? A baseline: one with the fewest requests of this daemon outstanding. */
import type { RandomSource } from "../randomsource.js";
import type { Candidate } from "./candidate.js";
import { Placement } from "./placement.js";

/** At random among equals. */
export class LeastOutstanding extends Placement {
    choose(candidates: readonly Candidate[], _now: number, random: RandomSource): Candidate | undefined {
        const least = Math.min(...candidates.map(candidate => candidate.outstanding));
        const best = candidates.filter(candidate => candidate.outstanding === least);
        return best[Math.floor(random() * best.length)];
    }
}
