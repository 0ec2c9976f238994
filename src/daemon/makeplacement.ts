/** Selects the placement policy by the settings. */
import { ExpectedTime } from "../policy/placement/expectedtime.js";
import { LeastOutstanding } from "../policy/placement/leastoutstanding.js";
import type { Placement } from "../policy/placement/placement.js";
import { RandomPlacement } from "../policy/placement/randomplacement.js";
import { RoundRobin } from "../policy/placement/roundrobin.js";
import { TwoChoices } from "../policy/placement/twochoices.js";
import type { Settings } from "./settings.js";

/** Returns a new placement of the kind that the settings name. */
export function makePlacement({ placement, placementOptions }: Settings["policy"]): Placement {
    switch (placement) {
        case "expected-time":
            return new ExpectedTime(placementOptions);
        case "round-robin":
            return new RoundRobin();
        case "random":
            return new RandomPlacement();
        case "least-outstanding":
            return new LeastOutstanding();
        case "two-choices":
            return new TwoChoices();
    }
}
