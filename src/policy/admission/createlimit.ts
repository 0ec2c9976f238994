/** Creates the concurrency limit that the settings name. */
import { FixedLimit } from "./fixedlimit.js";
import { LearnedLimit } from "./learnedlimit.js";
import type { LimitName } from "./limitname.js";
import { RampLimit } from "./ramplimit.js";
import type { SlotLimit } from "./slotlimit.js";

/**
 * `serviceKneeShare` returns the share of the slots above which upstreams of the service slow down, or undefined if
 * none is known.
 */
export function createLimit(name: LimitName, slots: number, serviceKneeShare: () => number | undefined): SlotLimit {
    switch (name) {
        case "fixed":
            return new FixedLimit(slots);
        case "ramp":
            return new RampLimit(slots);
        case "learned":
            return new LearnedLimit(slots, serviceKneeShare);
    }
}
