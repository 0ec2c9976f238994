/**
 * What passes between a gate and its upstream besides the runs: the upstream's notices in its answers, and the gate's questions.
 *
 * Owns the client, and the rate at which the upstream may be sent requests.
 */
import type { Upstream } from "../config/upstream.js";
import { SendRate } from "../policy/rate/sendrate.js";
import { ColdProbe } from "./coldprobe.js";
import type { GateParts } from "./gateparts.js";
import { HealthProbe } from "./healthprobe.js";
import { UpstreamClient } from "./upstreamclient.js";
import { UpstreamSignals } from "./upstreamsignals.js";

/** No request is held up by this question unless the upstream may be sent no more; milliseconds. */
const COLD_PROBE_TIMEOUT_MS = 250;

/** What the gate does on a notice. */
type EndpointEvents = {
    /** Called with each report of the pace. */
    readonly onPace: (pace: number) => void;
    /** Called when the upstream states a limit, or a lower one than before. */
    readonly onLimitLowered: () => void;
    /** Called with each answer that says that it leaves; the reason says whether for good. */
    readonly onLeaving: (reason: "upstream" | "ending") => void;
    /** Called with each answer of its health endpoint that does not. */
    readonly onNotLeaving: () => void;
};

/** One for each gate. */
export class UpstreamEndpoint {
    readonly client: UpstreamClient;
    readonly signals: UpstreamSignals;
    readonly healthProbe: HealthProbe;
    readonly coldProbe: ColdProbe;
    readonly sendRate: SendRate;

    constructor(upstream: Upstream, parts: GateParts, events: EndpointEvents) {
        const { name, service } = upstream;
        const { leavesForGood } = parts.dialect;
        this.signals = new UpstreamSignals({
            ...parts,
            ...events,
            upstream: name,
            onLeaving: () => {
                events.onLeaving(leavesForGood ? "ending" : "upstream");
                if (leavesForGood) {
                    parts.onEnding(name);
                }
            },
        });
        this.client = new UpstreamClient(upstream, {
            ...parts,
            onResponse: (headers, exchange) => {
                const load = parts.dialect.load(headers);
                if (load !== undefined) {
                    events.onPace(load.pace);
                }
                this.signals.recordResponse(headers, exchange);
            },
        });
        const { rateLimit } = this.signals;
        this.healthProbe = new HealthProbe({
            ...parts,
            service,
            rateLimit,
            client: this.client,
            onColdReport: (coldMs, sentAt) => this.coldProbe.record(coldMs, sentAt),
        });
        this.coldProbe = new ColdProbe({
            upstream: name,
            clock: parts.clock,
            limits: () => parts.coldLimits(service),
            mayProbe: () => this.healthProbe.mayProbeLoad && parts.mayAskForCold(),
            probe: () => this.healthProbe.probe(COLD_PROBE_TIMEOUT_MS),
        });
        this.sendRate = new SendRate(this.coldProbe.guard, rateLimit);
    }
}
