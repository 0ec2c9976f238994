/**
 * What passes between a gate and its upstream besides the runs: the upstream's notices in its answers, and the gate's questions.
 *
 * Owns the client, and the rate at which the upstream may be sent requests.
 */
import type { Upstream } from "../config/upstream.js";
import { SendRate } from "../policy/rate/sendrate.js";
import { ColdProbe } from "./coldprobe.js";
import type { GateParts } from "./gateparts.js";
import { HealthQuestions } from "./healthquestions.js";
import { UpstreamClient } from "./upstreamclient.js";
import { UpstreamNotices } from "./upstreamnotices.js";

/** No request is held up by this question unless the upstream may be sent no more; milliseconds. */
const ASK_COLD_TIMEOUT_MS = 250;

/** What the gate does on a notice. */
type ContactEvents = {
    /** Called with each report of the pace. */
    readonly onPace: (pace: number) => void;
    /** Called when the upstream states a limit, or a lower one than before. */
    readonly onLess: () => void;
    /** Called with each answer that says that it leaves; the reason says whether for good. */
    readonly onLeaving: (reason: "upstream" | "ending") => void;
    /** Called with each answer of its health endpoint that does not. */
    readonly onStaying: () => void;
};

/** One for each gate. */
export class UpstreamContact {
    readonly client: UpstreamClient;
    readonly notices: UpstreamNotices;
    readonly questions: HealthQuestions;
    readonly cold: ColdProbe;
    readonly rate: SendRate;

    constructor(upstream: Upstream, parts: GateParts, events: ContactEvents) {
        const { name, service } = upstream;
        const { leavesForGood } = parts.dialect;
        this.notices = new UpstreamNotices({
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
            onAnswer: (headers, answer) => {
                const load = parts.dialect.load(headers);
                if (load !== undefined) {
                    events.onPace(load.pace);
                }
                this.notices.recordAnswer(headers, answer);
            },
        });
        const { limit } = this.notices;
        this.questions = new HealthQuestions({
            ...parts,
            service,
            limit,
            client: this.client,
            onColdMs: (coldMs, askedAt) => this.cold.record(coldMs, askedAt),
        });
        this.cold = new ColdProbe({
            upstream: name,
            clock: parts.clock,
            limits: () => parts.coldLimits(service),
            mayAsk: () => this.questions.mayAskForLoad && parts.mayAskForCold(),
            ask: () => this.questions.ask(ASK_COLD_TIMEOUT_MS),
        });
        this.rate = new SendRate(this.cold.guard, limit);
    }
}
