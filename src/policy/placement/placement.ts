/** How an ingress chooses an upstream. */
import type { RandomSource } from "../randomsource.js";
import type { Candidate } from "./candidate.js";

/** A policy of placement; holds no more than its own counters. */
export abstract class Placement {
    /** Chooses one of the candidates, undefined when there are none. */
    abstract choose(candidates: readonly Candidate[], now: number, random: RandomSource): Candidate | undefined;
}
