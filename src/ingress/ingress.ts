/**
 * Listens for callers' requests and serves them.
 *
 * Owns the HTTP server and enforces the limits on what callers send. planner.ts plans each request; requesthandler.ts
 * serves it.
 */
import { createServer, type Server, type ServerResponse } from "node:http";
import type { CallerLimits } from "../config/callerlimits.js";
import { drainBody } from "../http/drainbody.js";
import { httpStatus } from "../http/httpstatus.js";
import { log } from "../log/log.js";
import { HeldMemory } from "../policy/admission/heldmemory.js";
import type { StopSchedule } from "../policy/stop/stopschedule.js";
import { listen } from "../time/listen.js";
import { AcceptMonitor } from "./acceptmonitor.js";
import type { CallerConnection } from "./callerconnection.js";
import { CallerConnections } from "./callerconnections.js";
import { CallerResponse } from "./callerresponse.js";
import { checkHead } from "./checkhead.js";
import { closeServer } from "./closeserver.js";
import { EffectiveLimits } from "./effectivelimits.js";
import { InFlightRequests } from "./inflightrequests.js";
import type { IngressDependencies } from "./ingressdependencies.js";
import type { IngressLimits } from "./ingresslimits.js";
import { LimitClosures } from "./limitclosures.js";
import type { ListenerDependencies } from "./listenerdependencies.js";
import { outgoingHeaders } from "./outgoingheaders.js";
import type { ParsedRequest } from "./parsedrequest.js";
import type { Plan } from "./plan.js";
import { PlannedStop } from "./plannedstop.js";
import { readCallerBody } from "./readcallerbody.js";
import { RequestHandler } from "./requesthandler.js";
import { RequestLog } from "./requestlog.js";
import type { RequestOutcome } from "./requestoutcome.js";
import type { RequestRefusal } from "./requestrefusal.js";
import type { StopCounts } from "./stopcounts.js";

const logger = log("ingress");

/** A request that was planned and not refused. */
type PlannedRequest = { readonly id: string; readonly path: string; readonly plan: Plan; readonly log: RequestLog; };

/** Reads callers' requests, refuses those that are invalid or too large, and passes the others to a request handler. */
export class Ingress {
    readonly #server: Server;
    readonly #connections: CallerConnections;
    readonly #accepts: AcceptMonitor;
    /** The memory that parsed requests take until they are answered. */
    readonly requestMemory: HeldMemory<CallerConnection>;
    /** The connections that were closed because of a limit. */
    readonly closures = new LimitClosures();
    readonly #limits: EffectiveLimits;
    readonly #inFlight = new InFlightRequests();
    /** Undefined until a planned stop begins. */
    #stop: PlannedStop | undefined;
    #isDestroyed = false;

    constructor(
        limits: IngressLimits,
        private readonly listenerParts: ListenerDependencies,
        private readonly deps: IngressDependencies,
    ) {
        this.#limits = new EffectiveLimits(limits);
        this.requestMemory = new HeldMemory(limits.requestMemoryBytes);
        this.#accepts = new AcceptMonitor(listenerParts.unread);
        this.#server = createServer({
            maxHeaderSize: limits.headerBytes,
            headersTimeout: limits.headersTimeoutMs,
            requestTimeout: limits.requestTimeoutMs,
            keepAliveTimeout: limits.keepAliveMs,
            // Node's own response would close the connection after requests behind it were accepted.
            requireHostHeader: false,
        });
        this.#connections = new CallerConnections(this.#server, {
            clock: deps.clock,
            unread: listenerParts.unread,
            accepts: this.#accepts,
            maxAccepted: limits.requestsPerConnection,
            maxOpenConnections: listenerParts.maxOpenConnections,
            serve: (request, connection) => void this.#handle(request, connection),
            onDropped: () => this.#stop?.counts.recordDropped(),
            requestMemory: this.requestMemory,
            discardLimits: () => this.#limits.discard,
            onLimit: (reason, socket) => this.closures.record(reason, socket),
        });
    }

    /** Applies the operators' limits on callers; the daemon's own limits apply where the operators set none. */
    applyCallerLimits(callerLimits: CallerLimits): void {
        this.#limits.apply(callerLimits);
        this.#server.headersTimeout = this.#limits.headersTimeoutMs;
        this.#server.keepAliveTimeout = this.#limits.keepAliveMs;
    }

    /** The number of requests whose responses are not yet written to their sockets. */
    get inFlight(): number {
        return this.#inFlight.count;
    }

    /** The number of requests that wait behind others on their connections. */
    get waitingCount(): number {
        return this.#connections.waitingCount;
    }

    listen(address: string): Promise<void> {
        return listen(this.#server, address);
    }

    /**
     * Accepts no further requests on connections that have unanswered ones; the response to the last of them closes the
     * connection. On other connections one more request is served, or refused if it could outlast the stop.
     */
    startClosing(schedule: StopSchedule): void {
        this.#stop = new PlannedStop(schedule, this.inFlight);
        this.#connections.startClosing();
    }

    /** Returns what became of the requests since the stop began, for the log. */
    stopSummary(): object {
        return this.#stop?.counts.summary() ?? {};
    }

    /** Stops accepting connections, closes idle ones, and resolves when no new request can arrive. */
    close(): Promise<void> {
        return closeServer(this.#server, () => this.#connections.closeIdle());
    }

    /** Closes all remaining connections, also those with a request in flight. */
    destroy(): void {
        this.#isDestroyed = true;
        this.#stop?.counts.recordUnsent(this.#connections.unsentBytes);
        this.#server.closeAllConnections();
    }

    async #handle(request: ParsedRequest, connection: CallerConnection): Promise<void> {
        const { req, res } = request;
        const callerResponse = new CallerResponse(res, connection, this.deps.dialect, req.method === "HEAD");
        this.#inFlight.begin();
        this.#stop?.counts.recordAccepted();
        res.once("close", () => this.#stop?.counts.recordEnd(this.#endOf(res)));
        try {
            const refusal = await this.#serve(request, callerResponse);
            if (refusal !== undefined) {
                const { problem, detail, retryAfterMs } = refusal;
                // Chunks that are not read are kept as objects of their own.
                drainBody(req);
                callerResponse.sendProblem(problem, { outcome: "not-run", detail, retryAfterMs });
            }
        }
        catch (err) {
            logger.warn(
                "An unexpected error ended a request; its caller gets status 500 unless a response has begun.",
                err,
            );
            callerResponse.sendProblem("internal", { outcome: "unknown", detail: "internal" });
        }
        finally {
            this.#inFlight.end(res);
        }
    }

    #endOf({ writableFinished }: ServerResponse): Parameters<StopCounts["recordEnd"]>[0] {
        if (writableFinished) {
            return "answered";
        }
        return this.#isDestroyed ? "cut" : "unanswered";
    }

    /** Returns the refusal to send, or undefined if the request was passed to a handler or its caller has left. */
    async #serve(request: ParsedRequest, callerResponse: CallerResponse): Promise<RequestRefusal | undefined> {
        const { req, arrivedAt: startedAt } = request;
        const head = checkHead(req, this.#limits.headerBytes);
        if (head.type === "refusal") {
            return head;
        }
        const { path } = head;
        const id = this.deps.dialect.idOf(req.headers, this.deps.newRequestId());
        const requestLog = new RequestLog(id);
        const plan = this.listenerParts.planner.plan(req, path, startedAt, requestLog);
        if (plan.type === "refusal") {
            return plan;
        }
        const stopRefusal = this.#stop?.refusal(plan, requestLog, this.deps.clock());
        if (stopRefusal !== undefined) {
            return stopRefusal;
        }
        const parent = this.listenerParts.planner.parentOf(req);
        parent?.work.callBegan(startedAt);
        try {
            return await this.#servePlanned({ id, path, plan, log: requestLog }, request, callerResponse);
        }
        finally {
            parent?.work.callEnded(this.deps.clock());
        }
    }

    async #servePlanned(
        { id, path, plan, log: requestLog }: PlannedRequest,
        request: ParsedRequest,
        callerResponse: CallerResponse,
    ): Promise<RequestRefusal | undefined> {
        const { req } = request;
        const held = await readCallerBody(req, {
            clock: this.deps.clock,
            limits: this.#limits.body,
            memory: this.listenerParts.bodyMemory,
            response: callerResponse,
            log: requestLog,
            deadline: plan.deadline,
        });
        if (held === undefined || "type" in held) {
            return held;
        }
        const { body, release } = held;
        const { callerService } = this.listenerParts;
        const headers = outgoingHeaders(req, plan, { dialect: this.deps.dialect, callerService });
        const outgoing = { id, method: req.method ?? "GET", headers, path, body };
        const handler = new RequestHandler(callerResponse, plan, outgoing, this.deps);
        const outcome = await handler.run().finally(release);
        this.#recordEnd(request, callerResponse, plan, requestLog, { outcome, attempts: handler.attempts });
        return undefined;
    }

    #recordEnd(
        { req, res: { statusCode, headersSent }, maxUnreadMs }: ParsedRequest,
        { presence: { endReadAt, closedAt } }: CallerResponse,
        plan: Plan,
        requestLog: RequestLog,
        { outcome: handledAs, attempts }: { readonly outcome: RequestOutcome; readonly attempts: number; },
    ): void {
        const elapsedMs = this.deps.clock() - plan.startedAt;
        const outcome = handledAs === "left" && this.#isDestroyed ? "cut" : handledAs;
        const hasBegun = headersSent || outcome !== "left" && outcome !== "cut";
        const status = hasBegun ? statusCode : undefined;
        if (outcome !== "served" || statusCode >= httpStatus.internalServerError) {
            this.listenerParts.planner.reportFailureToParent(req);
        }
        const { priority, team } = plan;
        this.deps.metrics.callers.recordUnread(maxUnreadMs);
        this.deps.metrics.recordFinishedRequest({ service: plan.service.name, priority, team }, outcome, elapsedMs);
        const revision = this.deps.revision();
        const times = { elapsedMs, maxUnreadMs, endReadAt, closedAt };
        requestLog.requestEnded(plan, { outcome, status, revision, attempts, ...times });
    }
}
