/** Describes a host as the simulated ingresses of other hosts see it. */
import type { ModelGate } from "./modelgate.js";
import type { ModelUpstream } from "./modelupstream.js";

/** A restart replaces the gate. */
export type ModelTarget = {
    readonly name: string;
    readonly service: string;
    readonly hall: number;
    /** All hosts without one are in the same region. */
    readonly region?: number;
    readonly upstream: ModelUpstream;
    gate: ModelGate;
    isUp: boolean;
    /** True while the host's data hall is evacuated. */
    isEvacuated: boolean;
};
