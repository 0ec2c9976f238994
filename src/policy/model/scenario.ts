/** Describes what is simulated: services, the requests of callers, and disturbances. Times are milliseconds. */
import type { ColdLimits } from "../cold/coldlimits.js";
import type { ModelCall } from "./modelcall.js";
import type { ModelClass } from "./modelclass.js";
import type { ModelPolicy } from "./modelpolicy.js";
import type { ModelService } from "./modelservice.js";
import type { ModelTrouble } from "./modeltrouble.js";

/** A scenario; `layered` creates one. */
export type Scenario = {
    readonly lengthMs: number;
    readonly services: readonly ModelService[];
    readonly classes: readonly ModelClass[];
    readonly calls: readonly ModelCall[];
    /** In each interval an upstream is slow with the probability `share`: work takes `slowdown` times as long. */
    readonly noise: { readonly share: number; readonly slowdown: number; readonly intervalMs: number; };
    /** After a start, work takes `slowdown` times as long for `durationMs`; gates apply `limits` if given. */
    readonly cold: {
        readonly durationMs: number;
        readonly slowdown: number;
        readonly limits?: Omit<ColdLimits, "startMs">;
    };
    readonly troubles: readonly ModelTrouble[];
    readonly policy: ModelPolicy;
};
