/** Baseline policy: places requests on the upstreams in turn. */
import type { Candidate } from "./candidate.js";
import { Placement } from "./placement.js";

/** Chooses the candidates in turn. */
export class RoundRobin extends Placement {
    #position = 0;

    choose(candidates: readonly Candidate[]): Candidate | undefined {
        this.#position = (this.#position + 1) % Math.max(1, candidates.length);
        return candidates[this.#position];
    }
}
