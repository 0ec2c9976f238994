/** A host of a model: an upstream, the gate beside it, and an ingress. */
import type { ModelGate } from "./modelgate.js";
import type { ModelIngress } from "./modelingress.js";
import type { ModelUpstream } from "./modelupstream.js";

/** Its gate and ingress are replaced when it restarts. */
export type ModelHost = {
    readonly name: string;
    readonly service: string;
    readonly hall: number;
    readonly upstream: ModelUpstream;
    gate: ModelGate;
    ingress: ModelIngress;
    isUp: boolean;
    /** What its record says that its gate has learnt; it outlasts restarts. */
    told: number | undefined;
};
