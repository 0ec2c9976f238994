/** Baseline policy: places a request on the upstream with the fewest outstanding requests of this daemon. */
import type { RandomSource } from "../randomsource.js";
import type { Candidate } from "./candidate.js";
import { Placement } from "./placement.js";

/** Chooses at random among the candidates with the fewest outstanding requests. */
export class LeastOutstanding extends Placement {
    choose(candidates: readonly Candidate[], _now: number, random: RandomSource): Candidate | undefined {
        const fewest = Math.min(...candidates.map(candidate => candidate.outstanding));
        const leastLoaded = candidates.filter(candidate => candidate.outstanding === fewest);
        return leastLoaded[Math.floor(random() * leastLoaded.length)];
    }
}
