/** What a model is made of: services, what callers send, and what goes wrong when. Times in milliseconds. */
import type { ColdLimits } from "../cold/coldlimits.js";
import type { ModelCall } from "./modelcall.js";
import type { ModelClass } from "./modelclass.js";
import type { ModelPolicy } from "./modelpolicy.js";
import type { ModelService } from "./modelservice.js";
import type { ModelTrouble } from "./modeltrouble.js";

/** Made by a function for each kind of it, as layered.ts. */
export type Scenario = {
    readonly lengthMs: number;
    readonly services: readonly ModelService[];
    readonly classes: readonly ModelClass[];
    readonly calls: readonly ModelCall[];
    /** At each moment a share of the upstreams works `slowdown` as long; drawn again every so often. */
    readonly noise: { readonly share: number; readonly slowdown: number; readonly intervalMs: number; };
    /** After a start work takes `slowdown` as long, and a gate sends no more than the limits say, where there are any. */
    readonly cold: {
        readonly durationMs: number;
        readonly slowdown: number;
        readonly limits?: Omit<ColdLimits, "startMs">;
    };
    readonly troubles: readonly ModelTrouble[];
    readonly policy: ModelPolicy;
};
