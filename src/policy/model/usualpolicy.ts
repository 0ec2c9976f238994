/** The policies of a model as they are where nothing is switched off. */
import type { ModelPolicy } from "./modelpolicy.js";

/** All parts as the daemon has them. */
export const usualPolicy: ModelPolicy = {
    limit: "learned",
    waitsForPace: true,
    keepsKneeShare: true,
    callPriority: "own",
    redirects: true,
};
