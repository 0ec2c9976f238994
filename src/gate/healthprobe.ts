/**
 * Sends probes to the upstream's health endpoint.
 *
 * Each probe counts against the rate limit that the upstream states. While a limit is stated, no probes of load are
 * sent, and health checks only if they displace no request.
 */
import type { Dialect } from "../dialect/dialect.js";
import type { ServiceName } from "../ids/servicename.js";
import type { StatedRateLimiter } from "../policy/rate/statedratelimiter.js";
import type { Clock } from "../time/clock.js";
import type { UpstreamClient } from "./upstreamclient.js";

/** Dependencies that the gate provides. */
type ProbeDependencies = {
    readonly service: ServiceName;
    readonly clock: Clock;
    readonly dialect: Dialect;
    readonly client: UpstreamClient;
    readonly rateLimit: StatedRateLimiter;
    /**
     * Called with the remaining cold time that the upstream reported, in milliseconds, and the time at which the probe
     * was sent.
     */
    readonly onColdReport: (coldMs: number | undefined, sentAt: number) => void;
    readonly healthPath: (service: ServiceName) => string;
};

/** Probes the health endpoint of one upstream. */
export class HealthProbe {
    constructor(private readonly deps: ProbeDependencies) {}

    /** False while the upstream states a rate limit: its responses to requests report its load then. */
    get mayProbeLoad(): boolean {
        return this.deps.rateLimit.perSecond === undefined;
    }

    /** Sends a probe and applies the response; rejects if none arrives in time. */
    async probe(timeoutMs: number): Promise<void> {
        const { clock, client, rateLimit, dialect, onColdReport, healthPath, service } = this.deps;
        const sentAt = clock();
        rateLimit.recordSent(sentAt);
        const { headers } = await client.probeHealth(healthPath(service), timeoutMs);
        onColdReport(dialect.coldMs(headers), sentAt);
    }

    /** Sends a probe, unless that would displace a request: then it resolves without a response. */
    async probeIfAllowed(timeoutMs: number): Promise<void> {
        if (this.deps.rateLimit.mayProbeHealth(this.deps.clock())) {
            await this.probe(timeoutMs);
        }
    }
}
