/** What an exchange needs of its daemon. */
import type { Vocabulary } from "../dialect/vocabulary.js";
import type { Address } from "../ids/address.js";
import type { ServiceName } from "../ids/servicename.js";
import type { Metrics } from "../metrics/metrics.js";
import type { Placement } from "../policy/placement/placement.js";
import type { RandomSource } from "../policy/randomsource.js";
import type { Retries } from "../policy/retry/retries.js";
import type { Clock } from "../time/clock.js";
import type { Neighbours } from "./neighbours.js";
import type { Outgoing } from "./outgoing.js";
import type { Plan } from "./plan.js";

/** `from` is the daemon's own peer address, where it hears load reports. */
export type IngressParts = {
    readonly clock: Clock;
    readonly random: RandomSource;
    readonly placement: Placement;
    readonly neighbours: Neighbours;
    readonly metrics: Metrics;
    /** What the service's answers so far say of tries after the first. */
    readonly retries: (service: ServiceName) => Retries;
    readonly vocabulary: Vocabulary;
    readonly hedge: boolean;
    readonly newId: () => string;
    readonly revision: () => number;
    readonly from: string;
    /** Pulls the configuration from a gate that has a newer one. */
    readonly catchUp: (revision: number, from: Address) => Promise<void>;
    /** The plan by the rules as they are now; the plan itself when none matches. */
    readonly replan: (out: Outgoing, plan: Plan) => Plan;
};
