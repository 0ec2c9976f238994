/** Defines the interface of the policies by which an ingress chooses an upstream. */
import type { RandomSource } from "../randomsource.js";
import type { Candidate } from "./candidate.js";
import type { PlacedRequest } from "./placedrequest.js";

/** Base class of placement policies; a policy holds no state except its own counters. */
export abstract class Placement {
    /**
     * Returns one of the candidates, or undefined if there are none. `now` is in milliseconds on the daemon's clock;
     * without `request`, its body counts as empty.
     */
    abstract choose(
        candidates: readonly Candidate[],
        now: number,
        random: RandomSource,
        request?: PlacedRequest,
    ): Candidate | undefined;
}
