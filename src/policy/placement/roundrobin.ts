/** A baseline: one after the other. */
import type { Candidate } from "./candidate.js";
import { Placement } from "./placement.js";

/** Chooses in turn. */
export class RoundRobin extends Placement {
    #turn = 0;

    choose(candidates: readonly Candidate[]): Candidate | undefined {
        this.#turn = (this.#turn + 1) % Math.max(1, candidates.length);
        return candidates[this.#turn];
    }
}
