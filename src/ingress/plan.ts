/** What is to be done with a request, before any upstream is chosen. */
import type { Arrival } from "../policy/retry/arrival.js";
import type { MatchedRule } from "../policy/routing/matchedrule.js";

/** Times are on the daemon's clock, in milliseconds; `depth` counts the calls between services above this request. */
export type Plan = MatchedRule & {
    readonly type: "plan";
    /** What chose the part of a split: from 0 up to 1, drawn once for a request. */
    readonly draw: number;
    readonly startedAt: number;
    readonly deadline: number;
    readonly depth: number;
    /** `first`, or `call` where the run that makes this call is not the first of its own request. */
    readonly arrival: Extract<Arrival, "first" | "call">;
};
