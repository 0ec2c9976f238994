/** One request at the upstream, from its start to the end of its answer. */
import { PassThrough, type Readable } from "node:stream";
import type { Vocabulary } from "../dialect/vocabulary.js";
import type { GateAnswer } from "../hop/gateanswer.js";
import { Cancel } from "../http/cancel.js";
import { cleanHeaders } from "../http/cleanheaders.js";
import type { HttpHeaders } from "../http/httpheaders.js";
import type { Ledger } from "../ledger/ledger.js";
import type { Clock } from "../time/clock.js";
import type { Contexts } from "./contexts.js";
import { isFramed } from "./isframed.js";
import type { Ticket } from "./ticket.js";
import type { UpstreamClient } from "./upstreamclient.js";
import { UpstreamError } from "./upstreamerror.js";

/** What a run needs; `ended` is called once, with the service time when the upstream served the request. */
type RunParts = {
    readonly clock: Clock;
    readonly ledger: Ledger;
    readonly contexts: Contexts;
    readonly vocabulary: Vocabulary;
    readonly client: UpstreamClient;
    readonly ended: (serviceMs: number | undefined) => void;
};

/** An upstream that is silent for so long past the deadline is cut off, so that its slot is not held for ever. */
const OVERTIME_MS = 250;

/** An answer without its note, and what the note must say. */
type RunAnswer = Omit<GateAnswer, "note"> & {
    readonly leaving: boolean;
    readonly calls: boolean;
    readonly retriedBelow: boolean;
    readonly unframed: boolean;
};

/** Holds a slot until the answer's body has ended or, for a streamed answer, until its head. */
export class UpstreamRun {
    readonly #startedAt: number;
    readonly #requestId: string;
    readonly #context: ReturnType<Contexts["open"]>;
    readonly #cancel = new Cancel();
    readonly #overtime: NodeJS.Timeout;
    #open = true;

    constructor(private readonly ticket: Ticket, private readonly parts: RunParts) {
        this.#startedAt = parts.clock();
        const { headers, head } = ticket.call;
        this.#requestId = parts.vocabulary.idOf(headers, head.id);
        this.#context = parts.contexts.open(this.#requestId, ticket.deadline, ticket.call.head.depth);
        this.#overtime = setTimeout(() => this.#cancel.abort(), ticket.deadline - this.#startedAt + OVERTIME_MS);
    }

    /** How long it has run, in milliseconds. */
    ageMs(now: number): number {
        return now - this.#startedAt;
    }

    /** Sends the request; throws an UpstreamError, and then the run has ended. */
    async send(): Promise<RunAnswer> {
        const { ticket, parts } = this;
        const left = ticket.upstreamCancel();
        const forget = left?.onAbort(() => this.#cancel.abort());
        if (left?.aborted) {
            this.#cancel.abort();
        }
        try {
            const answer = await parts.client.send(ticket.call, this.#headers(), this.#cancel);
            const streamed = ticket.call.head.answer === "streamed";
            if (streamed) {
                this.#end(true);
            }
            return {
                status: answer.status,
                headers: cleanHeaders(answer.headers),
                body: streamed ? answer.body : this.#watch(answer.body),
                leaving: parts.vocabulary.isLeaving(answer.headers),
                calls: this.#context.calls,
                retriedBelow: this.#context.retriedBelow,
                unframed: !isFramed(answer.headers),
            };
        }
        catch (err) {
            if (ticket.once && err instanceof UpstreamError && !err.sent) {
                parts.ledger.disprove(ticket.call.head.id);
            }
            forget?.();
            this.#end(false);
            throw err;
        }
    }

    /** Ends the run with the body; a `once` request's answer is read to its end whoever has left. */
    #watch(body: Readable): Readable {
        body.on("close", () => this.#end(true));
        if (!this.ticket.once) {
            return body;
        }
        const out = new PassThrough();
        body.on("error", err => out.destroy(err));
        out.on("error", () => {});
        out.on("close", () => body.unpipe(out).resume());
        return body.pipe(out);
    }

    #headers(): HttpHeaders {
        const { call, deadline } = this.ticket;
        const { vocabulary } = this.parts;
        return {
            ...call.headers,
            [vocabulary.context]: this.#context.token,
            [vocabulary.requestId]: this.#requestId,
            [vocabulary.upstream]: call.head.upstream,
            [vocabulary.timeLimit]: String(Math.max(1, Math.floor(deadline - this.#startedAt))),
        };
    }

    #end(served: boolean): void {
        if (!this.#open) {
            return;
        }
        this.#open = false;
        clearTimeout(this.#overtime);
        this.parts.contexts.close(this.#context);
        this.parts.ledger.finish(this.ticket.call.head.id);
        this.parts.ended(served ? this.ageMs(this.parts.clock()) : undefined);
    }
}
