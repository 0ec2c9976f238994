/** Selects the parts of the policies that a simulation runs with. */
import type { LimitName } from "../admission/limitname.js";
import type { CallPriorityPolicy } from "./callprioritypolicy.js";

/** Each part can be switched off or replaced, to measure its effect. */
export type ModelPolicy = {
    readonly limit: LimitName;
    /** Gates keep slots free while the upstream is slow. */
    readonly waitsForPace: boolean;
    /** The knee share that a gate has learned is kept over restarts. */
    readonly keepsKneeShare: boolean;
    /** The rule by which a call gets its priority. */
    readonly callPriority: CallPriorityPolicy;
    /** Gates redirect requests to other gates while their upstream is slow. */
    readonly redirects: boolean;
};
