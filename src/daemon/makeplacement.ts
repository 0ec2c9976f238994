/** From the settings to a policy. */
import { ExpectedTime } from "../policy/expectedtime.js";
import { LeastOutstanding } from "../policy/leastoutstanding.js";
import type { Placement } from "../policy/placement.js";
import { RandomPlacement } from "../policy/randomplacement.js";
import { RoundRobin } from "../policy/roundrobin.js";
import { TwoChoices } from "../policy/twochoices.js";
import type { Settings } from "./settings.js";

/** Makes the placement that the settings name. */
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
