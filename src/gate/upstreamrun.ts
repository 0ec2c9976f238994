/** One request at the upstream, from its start to the end of its answer. */
import { PassThrough, type Readable } from "node:stream";
import type { Dialect } from "../dialect/dialect.js";
import type { GateAnswer } from "../hop/gateanswer.js";
import { Cancel } from "../http/cancel.js";
import { cleanHeaders } from "../http/cleanheaders.js";
import type { HttpHeaders } from "../http/httpheaders.js";
import { httpStatus } from "../http/httpstatus.js";
import type { RequestKey } from "../ids/requestkey.js";
import type { ServiceName } from "../ids/servicename.js";
import type { Ledger } from "../ledger/ledger.js";
import type { LevelClock } from "../policy/admission/levelclock.js";
import { WorkTime } from "../policy/admission/worktime.js";
import { reasons } from "../policy/retry/reasons.js";
import type { Clock } from "../time/clock.js";
import type { CallContexts } from "./callcontexts.js";
import type { CrashDetector } from "./crashdetector.js";
import type { GateRequest } from "./gaterequest.js";
import { isFramed } from "./isframed.js";
import type { UpstreamClient } from "./upstreamclient.js";
import { UpstreamError } from "./upstreamerror.js";

/**
 * What a run needs; `onEnd` is called once, with the service time when the upstream served the request, the time that its work
 * took, and the calls that the run made.
 */
type RunParts = {
    readonly clock: Clock;
    readonly ledger: Ledger;
    readonly contexts: CallContexts;
    readonly dialect: Dialect;
    readonly client: UpstreamClient;
    readonly levels: LevelClock;
    readonly crashDetector: CrashDetector;
    readonly onServed: (request: RequestKey) => void;
    readonly onEnd: (
        serviceMs: number | undefined,
        work: Float64Array,
        calls: ReadonlyMap<ServiceName, number>,
    ) => void;
};

/** An upstream that is silent for so long past the deadline is cut off, so that its slot is not held for ever. */
const DEADLINE_GRACE_MS = 250;

/** An answer without its note, and what the note must say. */
type RunResponse = Omit<GateAnswer, "note"> & {
    readonly calls: boolean;
    readonly retriedBelow: boolean;
    readonly unframed: boolean;
};

/** Holds a slot until the answer's body has ended or, for a streamed answer, until its head. */
export class UpstreamRun {
    readonly #startedAt: number;
    readonly #requestId: string;
    readonly #workTime: WorkTime;
    readonly #context: ReturnType<CallContexts["open"]>;
    readonly #cancel = new Cancel();
    readonly #deadlineTimer: NodeJS.Timeout;
    #isActive = true;
    #hasResponseHead = false;
    #abortTimer: NodeJS.Timeout | undefined;

    constructor(private readonly request: GateRequest, private readonly parts: RunParts) {
        this.#startedAt = parts.clock();
        const { headers, head } = request.call;
        const { deadline } = request;
        this.#workTime = new WorkTime(parts.levels, this.#startedAt);
        this.#requestId = parts.dialect.idOf(headers, head.id);
        const details = { deadline, depth: head.depth, repeated: head.arrival !== "first", work: this.#workTime };
        this.#context = parts.contexts.open(this.#requestId, details);
        this.#deadlineTimer = setTimeout(() => {
            this.#abortUnanswered();
            this.#cancel.abort();
        }, deadline - this.#startedAt + DEADLINE_GRACE_MS);
    }

    /** It is not the first of its request, or its request is a call of such a one. */
    get isRepeat(): boolean {
        return this.request.call.head.arrival !== "first";
    }

    get key(): RequestKey | undefined {
        return this.request.key;
    }

    /** Calls it off, unless it may run only once: then it is let finish. */
    cancel(): void {
        if (!this.request.once) {
            this.#cancel.abort();
        }
    }

    /** How long it has run, in milliseconds. */
    ageMs(now: number): number {
        return now - this.#startedAt;
    }

    /** Gives the request up if it has no answer so long after its start: its connection may have gone silent. */
    abortIfUnanswered(afterMs: number): void {
        if (!this.#hasResponseHead && this.#abortTimer === undefined) {
            const now = this.parts.clock();
            this.#abortTimer = setTimeout(() => this.#abortUnanswered(), Math.max(0, this.#startedAt + afterMs - now));
        }
    }

    #abortUnanswered(): void {
        if (!this.#hasResponseHead) {
            this.#cancel.abort();
            this.parts.client.recordUnanswered(this.#startedAt);
        }
    }

    /** Sends the request; throws an UpstreamError, and then the run has ended. */
    async send(): Promise<RunResponse> {
        const { request, parts } = this;
        const callerCancel = request.upstreamCancel();
        const removeAbortListener = callerCancel?.onAbort(() => this.#cancel.abort());
        if (callerCancel?.aborted) {
            this.#cancel.abort();
        }
        try {
            const response = await parts.client.send(request.call, this.#requestHeaders(), this.#cancel);
            this.#hasResponseHead = true;
            parts.crashDetector.recordResponse(this.#startedAt);
            const isStreamed = request.call.head.answer === "streamed";
            if (isStreamed) {
                this.#end(true);
            }
            return {
                status: response.status,
                headers: cleanHeaders(response.headers),
                body: isStreamed ? response.body : this.#trackBody(response.body, response.status),
                calls: this.#context.calls.size > 0,
                retriedBelow: this.#context.retriedBelow,
                unframed: !isFramed(response.headers),
            };
        }
        catch (err) {
            if (request.once && err instanceof UpstreamError && reasons[err.reason].proves === "not-run") {
                parts.ledger.disprove(request.call.head.id);
            }
            this.#recordFailure(err);
            removeAbortListener?.();
            this.#end(false);
            throw err;
        }
    }

    #recordFailure(err: unknown): void {
        const { request: { key }, parts: { crashDetector } } = this;
        const reason = err instanceof UpstreamError ? err.reason : undefined;
        if (reason === "upstream-broke") {
            crashDetector.recordBrokenRun(key, this.#cancel.aborted);
        }
        else if (reason === "unreachable") {
            crashDetector.recordUnreachable();
        }
    }

    /** Ends the run with the body; a `once` request's answer is read to its end whoever has left. */
    #trackBody(body: Readable, status: number): Readable {
        body.on("close", () => {
            this.#recordServed(body.readableEnded, status);
            this.#end(true);
        });
        body.on("error", () => this.parts.crashDetector.recordBrokenRun(this.request.key, this.#cancel.aborted));
        if (!this.request.once) {
            return body;
        }
        const output = new PassThrough();
        body.on("error", err => output.destroy(err));
        output.on("error", () => {
            // The upstream's answer is read to its end all the same.
        });
        output.on("close", () => body.unpipe(output).resume());
        return body.pipe(output);
    }

    /** An answer that came whole, and is no failure of the upstream's own, speaks for the request. */
    #recordServed(isComplete: boolean, status: number): void {
        const { request: { key }, parts: { onServed } } = this;
        if (isComplete && key !== undefined && status < httpStatus.internalServerError) {
            onServed(key);
        }
    }

    #requestHeaders(): HttpHeaders {
        const { call, deadline } = this.request;
        const { dialect } = this.parts;
        return {
            ...call.headers,
            [dialect.context]: this.#context.token,
            [dialect.requestId]: this.#requestId,
            [dialect.upstream]: call.head.upstream,
            [dialect.timeLimit]: String(Math.max(1, Math.floor(deadline - this.#startedAt))),
        };
    }

    #end(wasServed: boolean): void {
        if (!this.#isActive) {
            return;
        }
        this.#isActive = false;
        clearTimeout(this.#deadlineTimer);
        clearTimeout(this.#abortTimer);
        this.parts.contexts.close(this.#context);
        this.parts.ledger.finish(this.request.call.head.id);
        const now = this.parts.clock();
        this.parts.onEnd(wasServed ? this.ageMs(now) : undefined, this.#workTime.read(now), this.#context.calls);
    }
}
