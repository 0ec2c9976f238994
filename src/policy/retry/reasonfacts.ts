/** Defines what a refusal's reason implies for the request and for the upstream. */
import type { ProblemType } from "./problemtype.js";

/**
 * The state that the ingress assumes of the upstream from then on; see failure/suspicion.ts and, in placement,
 * exclusion.ts, fullbackoff.ts and rateshare.ts.
 */
type UpstreamEffect = "none" | "full" | "cold" | "limited" | "leaving" | "absent" | "suspected";

/** Describes one reason; the table of all reasons is in reasons.ts. */
export type ReasonFacts = {
    /**
     * States whether the request is proven not to have run; `either` if that depends on the outcome that comes with the
     * reason.
     */
    readonly proves: "not-run" | "unknown" | "either";
    /** True if the request belongs elsewhere: up to a maximum, it is redirected without counting as an attempt. */
    readonly causesRedirect: boolean;
    /** True if the request would be refused everywhere, so that no attempt follows. */
    readonly isFinal?: true;
    /** True if even a proven `not-run` costs budget to retry, since the refusal was for load or may have been. */
    readonly costsBudget: boolean;
    /** The problem that is sent to the caller if no attempt follows and the request is proven not to have run. */
    readonly problem: ProblemType;
    readonly upstreamEffect: UpstreamEffect;
};
