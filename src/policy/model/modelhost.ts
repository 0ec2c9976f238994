/** A host of a model: an upstream, the gate beside it, and an ingress. */
import type { ModelIngress } from "./modelingress.js";
import type { ModelTarget } from "./modeltarget.js";

/** Its ingress is replaced when it restarts. */
export type ModelHost = ModelTarget & {
    ingress: ModelIngress;
    /** What its record says that its gate has learnt; it outlasts restarts. */
    recordedKneeShare: number | undefined;
};
