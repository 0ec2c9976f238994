/** What follows from a reason. */
import type { ProblemType } from "./problemtype.js";

/** What the ingress holds of the upstream from then on; see failure/suspicion.ts, and in placement avoidance.ts, fullness.ts and rateshare.ts. */
type UpstreamEffect = "none" | "full" | "cold" | "limited" | "leaving" | "absent" | "suspected";

/** One row of the table in `reasons.ts`. */
export type ReasonFacts = {
    /** What it proves of the request; `either`: what came with it says. */
    readonly proves: "not-run" | "unknown" | "either";
    /** The request belongs elsewhere: it goes there without counting as an attempt, as often as `maxMoves` allows. */
    readonly moves: boolean;
    /** It is refused for what it is, wherever it goes: nothing follows. */
    readonly isFinal?: true;
    /** A proven `not-run` is tried again only from the retry budget: the refusal was for load, or may be. */
    readonly costsBudget: boolean;
    /** What the caller is told when nothing follows, and the request is proven not to have run. */
    readonly problem: ProblemType;
    readonly upstream: UpstreamEffect;
};
