/**
 * Questions to the upstream's health endpoint.
 *
 * Each counts as a request against a limit that the upstream states, so that none is asked then but where no request is sent.
 */
import type { Dialect } from "../dialect/dialect.js";
import type { ServiceName } from "../ids/servicename.js";
import type { RequestLimit } from "../policy/rate/requestlimit.js";
import type { Clock } from "../time/clock.js";
import type { UpstreamClient } from "./upstreamclient.js";

/** What the questions need of their gate. */
type ProbeParts = {
    readonly service: ServiceName;
    readonly clock: Clock;
    readonly dialect: Dialect;
    readonly client: UpstreamClient;
    readonly rateLimit: RequestLimit;
    /** Told for how long the upstream says that it is cold, asked at a time. */
    readonly onColdReport: (coldMs: number | undefined, sentAt: number) => void;
    readonly healthPath: (service: ServiceName) => string;
};

/** One for each gate. */
export class HealthProbe {
    constructor(private readonly parts: ProbeParts) {}

    /** False while the upstream states a limit: its answers to requests say how it works. */
    get mayProbeLoad(): boolean {
        return this.parts.rateLimit.perSecond === undefined;
    }

    /** Asks and acts on the answer; rejects when none comes in time. */
    async probe(timeoutMs: number): Promise<void> {
        const { clock, client, rateLimit, dialect, onColdReport, healthPath, service } = this.parts;
        const sentAt = clock();
        rateLimit.recordSent(sentAt);
        const { headers } = await client.probeHealth(healthPath(service), timeoutMs);
        onColdReport(dialect.coldMs(headers), sentAt);
    }

    /** Asks unless that would take the place of a request; resolves without an answer then. */
    async probeIfAllowed(timeoutMs: number): Promise<void> {
        if (this.parts.rateLimit.mayAskHealth(this.parts.clock())) {
            await this.probe(timeoutMs);
        }
    }
}
