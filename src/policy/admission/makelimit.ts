/** From its name to a limit. */
import { FixedLimit } from "./fixedlimit.js";
import { LearnedLimit } from "./learnedlimit.js";
import type { LimitName } from "./limitname.js";
import { RampLimit } from "./ramplimit.js";
import type { SlotLimit } from "./slotlimit.js";

/** For an upstream with so many slots; `usualShare` of them is where others of its service were found to slow down. */
export function makeLimit(name: LimitName, slots: number, usualShare: () => number | undefined): SlotLimit {
    switch (name) {
        case "fixed":
            return new FixedLimit(slots);
        case "ramp":
            return new RampLimit(slots);
        case "learned":
            return new LearnedLimit(slots, usualShare);
    }
}
