/** The options of the layered scenario. */
import type { ModelPolicy } from "./modelpolicy.js";
import type { ModelTrouble } from "./modeltrouble.js";
import type { Scenario } from "./scenario.js";

/**
 * `hosts` are split 6 to 4 to 3 between the services; `load` multiplies the request rates, which also grow with
 * `hosts`.
 */
export type LayeredOptions = {
    readonly hosts: number;
    readonly load: number;
    readonly lengthMs: number;
    readonly troubles: readonly ModelTrouble[];
    readonly policy: ModelPolicy;
    /** Limits the requests to a cold upstream; undefined for no limits. */
    readonly coldLimits?: Scenario["cold"]["limits"];
};
