/** Which parts of the policies a model runs with. */
import type { LimitName } from "../admission/limitname.js";
import type { CallPriorityPolicy } from "./callprioritypolicy.js";

/** A part that is switched off, to see what it is worth. */
export type ModelPolicy = {
    readonly limit: LimitName;
    /** Slots stay free while the upstream works slowly. */
    readonly waitsForPace: boolean;
    /** What a gate has learnt of its upstream outlasts a restart. */
    readonly keepsKneeShare: boolean;
    /** In which class a call waits. */
    readonly callPriority: CallPriorityPolicy;
    /** Gates send requests on to others. */
    readonly redirects: boolean;
};
