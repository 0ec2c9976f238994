/** Runs one request at the upstream, from its start to the end of the response. */
import { PassThrough, type Readable } from "node:stream";
import type { Dialect } from "../dialect/dialect.js";
import type { GateResponse } from "../hop/gateresponse.js";
import { bodyFraming } from "../http/bodyframing.js";
import { Cancellation } from "../http/cancellation.js";
import { forwardableHeaders } from "../http/forwardableheaders.js";
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
import { endAtDeadline } from "./endatdeadline.js";
import type { GateRequest } from "./gaterequest.js";
import type { UpstreamClient } from "./upstreamclient.js";
import { UpstreamError } from "./upstreamerror.js";
import { WriteCheck } from "./writecheck.js";

/** Dependencies and callbacks that the gate provides. */
type RunDependencies = {
    readonly clock: Clock;
    readonly ledger: Ledger;
    readonly contexts: CallContexts;
    readonly dialect: Dialect;
    readonly client: UpstreamClient;
    readonly levels: LevelClock;
    readonly crashDetector: CrashDetector;
    /** Called when the upstream has served the request successfully. */
    readonly onServed: (request: RequestKey) => void;
    /**
     * Called once at the end of the run, with the service time in milliseconds if the upstream served the request, the
     * milliseconds of its own work by concurrency level, and the number of calls by service.
     */
    readonly onEnd: (
        serviceMs: number | undefined,
        work: Float64Array,
        calls: ReadonlyMap<ServiceName, number>,
    ) => void;
};

/** Time past the deadline after which an unresponsive upstream is cut off, so that its slot is not held for ever. */
const DEADLINE_GRACE_MS = 250;

/** A response without its metadata, and the values that the metadata takes from it. */
type RunResponse = Omit<GateResponse, "metadata"> & {
    readonly calls: boolean;
    readonly retriedBelow: boolean;
    readonly unframed: boolean;
};

/**
 * Runs one request. It holds a slot until the response's body has ended, or only until its head for a streamed
 * response.
 */
export class UpstreamRun {
    readonly #startedAt: number;
    readonly #requestId: string;
    readonly #workTime: WorkTime;
    readonly #context: ReturnType<CallContexts["open"]>;
    readonly #cancel = new Cancellation();
    readonly #deadlineTimer: NodeJS.Timeout;
    #isActive = true;
    #hasResponseHead = false;
    #abortTimer: NodeJS.Timeout | undefined;

    constructor(private readonly request: GateRequest, private readonly deps: RunDependencies) {
        this.#startedAt = deps.clock();
        request.startedAt = this.#startedAt;
        const { headers, head } = request.call;
        const { deadline } = request;
        this.#workTime = new WorkTime(deps.levels, this.#startedAt);
        this.#requestId = deps.dialect.idOf(headers, head.id);
        const { team, depth, arrival } = head;
        const runDetails = { deadline, team, depth, isRepeat: arrival !== "first", work: this.#workTime };
        this.#context = deps.contexts.open(this.#requestId, runDetails);
        this.#deadlineTimer = setTimeout(() => {
            this.#abortUnanswered();
            this.#cancel.abort();
        }, deadline - this.#startedAt + DEADLINE_GRACE_MS);
    }

    /** True if the run is a repeat, or serves a call that a repeat makes. */
    get isRepeat(): boolean {
        return this.request.call.head.arrival !== "first";
    }

    get key(): RequestKey | undefined {
        return this.request.key;
    }

    /** Aborts the run, unless the request may run only once: then it runs to its end. */
    cancel(): void {
        if (!this.request.once) {
            this.#cancel.abort();
        }
    }

    /** Returns how long the run has taken so far, in milliseconds. */
    ageMs(now: number): number {
        return now - this.#startedAt;
    }

    /**
     * Aborts the run if it has no response `afterMs` milliseconds after its start: its connection may be unresponsive.
     */
    abortIfUnanswered(afterMs: number): void {
        if (!this.#hasResponseHead && this.#abortTimer === undefined) {
            const now = this.deps.clock();
            this.#abortTimer = setTimeout(() => this.#abortUnanswered(), Math.max(0, this.#startedAt + afterMs - now));
        }
    }

    #abortUnanswered(): void {
        if (!this.#hasResponseHead) {
            this.#cancel.abort();
            this.deps.client.recordUnanswered(this.#startedAt);
        }
    }

    /** Sends the request. If it throws an UpstreamError, the run has ended. */
    async send(): Promise<RunResponse> {
        const { request, deps } = this;
        const callerCancel = request.upstreamCancel();
        const removeAbortListener = callerCancel?.onAbort(() => this.#cancel.abort());
        if (callerCancel?.aborted) {
            this.#cancel.abort();
        }
        try {
            const body = endAtDeadline(request.call.body, request.deadline, deps.clock);
            const writeCheck = new WriteCheck(request, deps.clock);
            const response = await writeCheck.run(() =>
                deps.client.send({ ...request.call, body }, this.#requestHeaders(), {
                    cancel: this.#cancel,
                    onConnected: () => request.connectedAt = deps.clock(),
                    checkWrite: () => writeCheck.check(),
                    deadline: request.ledgerDeadline,
                })
            );
            this.#hasResponseHead = true;
            deps.crashDetector.recordResponse(this.#startedAt);
            const isStreamed = request.call.head.answer === "streamed";
            if (isStreamed) {
                this.#end(true);
            }
            return {
                status: response.status,
                headers: forwardableHeaders(response.headers),
                body: isStreamed ? response.body : this.#trackBody(response.body, response.status),
                calls: this.#context.calls.size > 0,
                retriedBelow: this.#context.retriedBelow,
                unframed: bodyFraming(response.headers) === "end-of-connection",
            };
        }
        catch (err) {
            if (request.once && err instanceof UpstreamError && reasons[err.reason].proves === "not-run") {
                deps.ledger.markNotRun(request.call.head.id);
            }
            this.#recordFailure(err);
            removeAbortListener?.();
            this.#end(false);
            throw err;
        }
    }

    #recordFailure(err: unknown): void {
        const { request: { key }, deps: { crashDetector } } = this;
        const reason = err instanceof UpstreamError ? err.reason : undefined;
        if (reason === "upstream-broke") {
            crashDetector.recordBrokenRun(key, this.#cancel.aborted);
        }
        else if (reason === "unreachable") {
            crashDetector.recordUnreachable();
        }
    }

    /** Ends the run with the body. The response to a `once` request is read to its end even if its caller has left. */
    #trackBody(body: Readable, status: number): Readable {
        body.on("close", () => {
            this.#recordServed(body.readableEnded, status);
            this.#end(true);
        });
        body.on("error", () => this.deps.crashDetector.recordBrokenRun(this.request.key, this.#cancel.aborted));
        if (!this.request.once) {
            return body;
        }
        const output = new PassThrough();
        body.on("error", err => output.destroy(err));
        output.on("error", () => {
            // The response is read to its end regardless.
        });
        output.on("close", () => body.unpipe(output).resume());
        return body.pipe(output);
    }

    /** Reports the request as served if its response is complete and no server error. */
    #recordServed(isComplete: boolean, status: number): void {
        const { request: { key }, deps: { onServed } } = this;
        if (isComplete && key !== undefined && status < httpStatus.internalServerError) {
            onServed(key);
        }
    }

    #requestHeaders(): HttpHeaders {
        const { call, deadline } = this.request;
        const { dialect } = this.deps;
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
        this.deps.contexts.close(this.#context, this.#cancel.aborted);
        this.deps.ledger.finish(this.request.call.head.id);
        const now = this.deps.clock();
        this.deps.onEnd(wasServed ? this.ageMs(now) : undefined, this.#workTime.read(now), this.#context.calls);
    }
}
