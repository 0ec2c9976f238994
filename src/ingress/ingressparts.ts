/** What an exchange needs of its daemon. */
import type { ServiceName } from "../ids/servicename.js";
import type { Metrics } from "../metrics/metrics.js";
import type { Placement } from "../policy/placement.js";
import type { RandomSource } from "../policy/randomsource.js";
import type { RetryBudget } from "../policy/retrybudget.js";
import type { Clock } from "../time/clock.js";
import type { Neighbours } from "./neighbours.js";

/** `from` is the daemon's own peer address, where it hears load reports. */
export type IngressParts = {
    readonly clock: Clock;
    readonly random: RandomSource;
    readonly placement: Placement;
    readonly neighbours: Neighbours;
    readonly metrics: Metrics;
    readonly budget: (service: ServiceName) => RetryBudget;
    readonly newId: () => string;
    readonly revision: () => number;
    readonly from: string;
};
