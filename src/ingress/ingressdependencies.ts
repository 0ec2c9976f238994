/** Components of the daemon that request handling uses. */
import type { Service } from "../config/service.js";
import type { CrashGuard } from "../crashes/crashguard.js";
import type { Dialect } from "../dialect/dialect.js";
import type { Address } from "../ids/address.js";
import type { Metrics } from "../metrics/metrics.js";
import type { Placement } from "../policy/placement/placement.js";
import type { RandomSource } from "../policy/randomsource.js";
import type { Retries } from "../policy/retry/retries.js";
import type { QuotaTask } from "../quota/quotatask.js";
import type { Clock } from "../time/clock.js";
import type { OutgoingRequest } from "./outgoingrequest.js";
import type { Plan } from "./plan.js";
import type { UpstreamTable } from "./upstreamtable.js";

/** Passed to the ingress, its request handlers and their attempts. */
export type IngressDependencies = {
    readonly clock: Clock;
    readonly random: RandomSource;
    readonly placement: Placement;
    readonly upstreams: UpstreamTable;
    readonly metrics: Metrics;
    /** Returns the service's retry budget, and its hedging delay as learned from its responses. */
    readonly retries: (service: Service) => Retries;
    readonly dialect: Dialect;
    /** True if hedging is enabled. */
    readonly isHedgingEnabled: boolean;
    /** Quarantines requests that crash upstreams. */
    readonly crashGuard: CrashGuard;
    /** Limits the requests of teams over all daemons. */
    readonly quota: QuotaTask;
    /** Returns the number of known daemons, including this one. */
    readonly daemonCount: () => number;
    /** Returns true if a request with a body of this length may be sent to another region now. */
    readonly allowsCrossing: (bodyBytes: number) => boolean;
    /** Returns a new id for a request or an attempt. */
    readonly newRequestId: () => string;
    /** Returns the revision of the configuration, or 0 while none is known. */
    readonly revision: () => number;
    /** The daemon's own peer address, to which gates send load reports. */
    readonly peerAddress: string;
    /** Pulls the configuration from a gate whose revision is newer. */
    readonly pullConfiguration: (revision: number, from: Address) => Promise<void>;
    /** Returns the plan under the current rules, or undefined if no rule matches any more. */
    readonly replan: (out: OutgoingRequest, plan: Plan) => Plan | undefined;
};
