/** The decision of a gate on a request that arrives. */
import type { Refusal } from "./refusal.js";

/** The request runs now, is queued or is refused. */
export type AdmissionDecision =
    | { readonly type: "run"; }
    | { readonly type: "wait"; }
    | { readonly type: "refuse"; readonly refusal: Refusal; };
