/** What may be varied of the layered scenario. */
import type { ModelPolicy } from "./modelpolicy.js";
import type { ModelTrouble } from "./modeltrouble.js";
import type { Scenario } from "./scenario.js";

/** `hosts` share out as 6 to 4 to 3, and the load grows with them. */
export type LayeredOptions = {
    readonly hosts: number;
    readonly load: number;
    readonly lengthMs: number;
    readonly troubles: readonly ModelTrouble[];
    readonly policy: ModelPolicy;
    /** What a cold upstream may be sent; as much as any other where this is left out. */
    readonly coldLimits?: Scenario["cold"]["limits"];
};
