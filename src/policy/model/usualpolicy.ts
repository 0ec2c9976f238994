/** The policies of a simulation with no part switched off. */
import type { ModelPolicy } from "./modelpolicy.js";

/** All parts as in the daemon. */
export const usualPolicy: ModelPolicy = {
    limit: "learned",
    waitsForPace: true,
    keepsKneeShare: true,
    callPriority: "own",
    redirects: true,
};
