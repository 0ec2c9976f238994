/** What the handling of requests needs of its daemon. */
import type { Service } from "../config/service.js";
import type { CrashGuard } from "../crashes/crashguard.js";
import type { Dialect } from "../dialect/dialect.js";
import type { Address } from "../ids/address.js";
import type { Metrics } from "../metrics/metrics.js";
import type { Placement } from "../policy/placement/placement.js";
import type { RandomSource } from "../policy/randomsource.js";
import type { Retries } from "../policy/retry/retries.js";
import type { Clock } from "../time/clock.js";
import type { Outgoing } from "./outgoing.js";
import type { Plan } from "./plan.js";
import type { UpstreamTable } from "./upstreamtable.js";

/** `from` is the daemon's own peer address, where load reports are received. */
export type IngressParts = {
    readonly clock: Clock;
    readonly random: RandomSource;
    readonly placement: Placement;
    readonly upstreams: UpstreamTable;
    readonly metrics: Metrics;
    /** The service's budget of retries, and what its answers so far say of hedging. */
    readonly retries: (service: Service) => Retries;
    readonly dialect: Dialect;
    readonly hedge: boolean;
    readonly guard: CrashGuard;
    readonly newId: () => string;
    readonly revision: () => number;
    readonly from: string;
    /** Pulls the configuration from a gate that has a newer one. */
    readonly catchUp: (revision: number, from: Address) => Promise<void>;
    /** The plan by the rules as they are now; the plan itself when none matches. */
    readonly replan: (out: Outgoing, plan: Plan) => Plan;
};
