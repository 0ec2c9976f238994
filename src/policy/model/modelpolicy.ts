/** Which parts of the policies a model runs with. */
import type { LimitName } from "../admission/limitname.js";
import type { CallClass } from "./callprioritypolicy.js";

/** A part that is switched off, to see what it is worth. */
export type ModelPolicy = {
    readonly limit: LimitName;
    /** Slots stay free while the upstream works slowly. */
    readonly waitsForPace: boolean;
    /** What a gate has learnt of its upstream outlasts a restart. */
    readonly remembers: boolean;
    /** In which class a call waits. */
    readonly calls: CallClass;
    /** Gates send requests on to others. */
    readonly moves: boolean;
};
