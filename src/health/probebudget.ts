/** Limits the probes of the upstreams beside this daemon, and determines the path of their health endpoints. */
import type { CurrentConfiguration } from "../distribution/currentconfiguration.js";
import type { ServiceName } from "../ids/servicename.js";
import type { Metrics } from "../metrics/metrics.js";
import { TokenBucket } from "../policy/tokenbucket.js";
import type { Clock } from "../time/clock.js";

/** Approximate size of a probe and its response. */
const PROBE_BYTES = 200;

/**
 * Rate and burst of the probes that determine whether an upstream has crashed. One probe settles a crash. Where
 * connections break off repeatedly for another reason, the upstream is probed no more often than this: requests in
 * flight at a crash are still known 2 s later.
 */
const CRASH_PROBES = { perSecond: 5, burst: 2 } as const;

/**
 * Rate and burst of the probes that determine whether an upstream is cold. Only after such a probe is a warm upstream
 * sent more than a cold one may get, so it can be sent at most this many times its burst in a second
 * (policy/rate/ratelimiter.ts).
 */
const COLD_PROBES = { perSecond: 40, burst: 10 } as const;

/**
 * `pacePerSecond`: pace probes a second; `healthPath`: path of the health endpoint for services that have none of their
 * own.
 */
type ProbeLimits = { readonly pacePerSecond: number; readonly healthPath: string; };

/** Limits the rate of probes, however many requests arrive. */
export class ProbeBudget {
    readonly #paceProbes: TokenBucket;
    readonly #crashProbes: TokenBucket;
    readonly #coldProbes: TokenBucket;

    constructor(
        private readonly limits: ProbeLimits,
        private readonly configuration: CurrentConfiguration,
        private readonly metrics: Metrics,
        private readonly clock: Clock,
    ) {
        const { pacePerSecond } = limits;
        this.#paceProbes = new TokenBucket(pacePerSecond, Math.ceil(pacePerSecond / 2), clock());
        this.#crashProbes = new TokenBucket(CRASH_PROBES.perSecond, CRASH_PROBES.burst, clock());
        this.#coldProbes = new TokenBucket(COLD_PROBES.perSecond, COLD_PROBES.burst, clock());
    }

    /** Takes one pace probe from the budget; returns false if the budget is used up. */
    mayProbePace(): boolean {
        return this.#takeProbe(this.#paceProbes);
    }

    /** Takes one crash probe from the budget; returns false if the budget is used up. */
    mayProbeCrash(): boolean {
        return this.#takeProbe(this.#crashProbes);
    }

    /** Takes one cold probe from the budget; returns false if the budget is used up. */
    mayProbeCold(): boolean {
        return this.#takeProbe(this.#coldProbes);
    }

    #takeProbe(bucket: TokenBucket): boolean {
        const isAllowed = bucket.spend(1, this.clock());
        if (isAllowed) {
            this.metrics.countControlTraffic("health", PROBE_BYTES);
        }
        return isAllowed;
    }

    /** Returns the path that operators have configured for the service, or else the daemon's default path. */
    healthPath(service: ServiceName): string {
        const settings = this.configuration.document.services.find(candidate => candidate.name === service);
        return settings?.healthPath ?? this.limits.healthPath;
    }
}
