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
type QuestionParts = {
    readonly service: ServiceName;
    readonly clock: Clock;
    readonly dialect: Dialect;
    readonly client: UpstreamClient;
    readonly limit: RequestLimit;
    /** Told for how long the upstream says that it is cold, asked at a time. */
    readonly onColdMs: (coldMs: number | undefined, askedAt: number) => void;
    readonly healthPath: (service: ServiceName) => string;
};

/** One for each gate. */
export class HealthQuestions {
    constructor(private readonly parts: QuestionParts) {}

    /** False while the upstream states a limit: its answers to requests say how it works. */
    get mayAskForLoad(): boolean {
        return this.parts.limit.perSecond === undefined;
    }

    /** Asks and acts on the answer; rejects when none comes in time. */
    async ask(timeoutMs: number): Promise<void> {
        const { clock, client, limit, dialect, onColdMs, healthPath, service } = this.parts;
        const askedAt = clock();
        limit.recordSent(askedAt);
        const { headers } = await client.ask(healthPath(service), timeoutMs);
        onColdMs(dialect.coldMs(headers), askedAt);
    }

    /** Asks unless that would take the place of a request; resolves without an answer then. */
    async askInTurn(timeoutMs: number): Promise<void> {
        if (this.parts.limit.mayAskHealth(this.parts.clock())) {
            await this.ask(timeoutMs);
        }
    }
}
