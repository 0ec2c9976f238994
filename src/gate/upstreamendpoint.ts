/**
 * Connects a gate to its upstream: requests, health probes, and what the upstream reports in its responses.
 *
 * Owns the HTTP client, and the rate at which the upstream may be sent requests.
 */
import type { Upstream } from "../config/upstream.js";
import { SendRate } from "../policy/rate/sendrate.js";
import { ColdProbe } from "./coldprobe.js";
import type { GateDependencies } from "./gatedependencies.js";
import { HealthProbe } from "./healthprobe.js";
import { UpstreamClient } from "./upstreamclient.js";
import { UpstreamSignals } from "./upstreamsignals.js";

/** Requests wait for this probe only if the upstream may be sent no more. */
const COLD_PROBE_TIMEOUT_MS = 250;

/** Callbacks of the gate. */
type EndpointEvents = {
    /** Called with each pace that the upstream reports. */
    readonly onPace: (pace: number) => void;
    /** Called when the upstream states a rate limit, or a lower one than before. */
    readonly onLimitLowered: () => void;
    /**
     * Called for each response that announces that the upstream is leaving; `ending` if it leaves permanently.
     */
    readonly onLeaving: (reason: "upstream" | "ending") => void;
    /** Called for each response of the health endpoint that does not announce that the upstream is leaving. */
    readonly onNotLeaving: () => void;
};

/** Creates and connects the client, the probes and the send rate for one upstream. */
export class UpstreamEndpoint {
    readonly client: UpstreamClient;
    readonly signals: UpstreamSignals;
    readonly healthProbe: HealthProbe;
    readonly coldProbe: ColdProbe;
    readonly sendRate: SendRate;

    constructor(upstream: Upstream, deps: GateDependencies, events: EndpointEvents) {
        const { name, service } = upstream;
        const { leavingIsPermanent } = deps.dialect;
        this.signals = new UpstreamSignals({
            ...deps,
            ...events,
            upstream: name,
            onLeaving: () => {
                events.onLeaving(leavingIsPermanent ? "ending" : "upstream");
                if (leavingIsPermanent) {
                    deps.onEnding(name);
                }
            },
        });
        this.client = new UpstreamClient(upstream, {
            ...deps,
            onResponse: (headers, exchange) => {
                const load = deps.dialect.load(headers);
                if (load !== undefined) {
                    events.onPace(load.pace);
                }
                this.signals.recordResponse(headers, exchange);
            },
        });
        const { rateLimit } = this.signals;
        this.healthProbe = new HealthProbe({
            ...deps,
            service,
            rateLimit,
            client: this.client,
            onColdReport: (coldMs, sentAt) => this.coldProbe.record(coldMs, sentAt),
        });
        this.coldProbe = new ColdProbe({
            upstream: name,
            clock: deps.clock,
            limits: () => deps.coldLimits(service),
            mayProbe: () => this.healthProbe.mayProbeLoad && deps.mayProbeCold(),
            probe: () => this.healthProbe.probe(COLD_PROBE_TIMEOUT_MS),
        });
        this.sendRate = new SendRate(this.coldProbe.guard, rateLimit);
    }
}
