/** Describes a host in a simulation: an upstream with its gate, and an ingress. */
import type { ModelIngress } from "./modelingress.js";
import type { ModelTarget } from "./modeltarget.js";

/** A restart replaces the ingress. */
export type ModelHost = ModelTarget & {
    ingress: ModelIngress;
    /** The knee share that the gate has learned, as stored in the host's record; it is kept over restarts. */
    recordedKneeShare: number | undefined;
};
