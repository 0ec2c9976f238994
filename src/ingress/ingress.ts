/** The listener for callers. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import type { CallerLimits } from "../config/callerlimits.js";
import type { RequestTarget } from "../config/requesttarget.js";
import type { Ruling } from "../config/ruling.js";
import type { Contexts } from "../gate/contexts.js";
import { cleanHeaders } from "../http/cleanheaders.js";
import type { HttpHeaders } from "../http/httpheaders.js";
import { httpStatus } from "../http/httpstatus.js";
import type { ServiceName } from "../ids/servicename.js";
import { log } from "../log/log.js";
import { listen } from "../time/listen.js";
import { BodyError } from "./bodyerror.js";
import { closeServer } from "./closeserver.js";
import { Exchange } from "./exchange.js";
import { headBytes } from "./headbytes.js";
import type { IngressParts } from "./ingressparts.js";
import { pathOf } from "./pathof.js";
import type { Plan } from "./plan.js";
import type { ProblemType } from "./problemtype.js";
import { readBody } from "./requestbody.js";
import { sendProblem } from "./sendproblem.js";
import { timeLimitOf } from "./timelimitof.js";

const logger = log("ingress");

/** Calls between services may be nested so deep. */
const MAX_DEPTH = 8;
const RETRY_SOON_MS = 250;

/** Bounds on what callers send; sizes in bytes, times in milliseconds. */
type IngressLimits = {
    readonly headerBytes: number;
    readonly keepBytes: number;
    readonly bodyBytes: number;
    readonly headersTimeoutMs: number;
    readonly requestTimeoutMs: number;
    readonly keepAliveMs: number;
};

/** What the listener needs besides the exchanges' parts. */
type IngressSource = {
    /** What the configuration says of a request; undefined when no rule matches. */
    readonly find: (target: RequestTarget, draw: number) => Ruling | undefined;
    readonly contexts: Contexts;
    /** The service on this host, in whose name all requests that begin here go out; undefined for none. */
    readonly callerService: ServiceName | undefined;
};

/** Matches callers' requests with rules and serves them. */
export class Ingress {
    readonly #server: Server;
    #allowed: CallerLimits = {};
    #stopping = false;
    #inFlight = 0;

    constructor(
        private readonly limits: IngressLimits,
        private readonly source: IngressSource,
        private readonly parts: IngressParts,
    ) {
        this.#server = createServer({
            maxHeaderSize: limits.headerBytes,
            headersTimeout: limits.headersTimeoutMs,
            requestTimeout: limits.requestTimeoutMs,
            keepAliveTimeout: limits.keepAliveMs,
        }, (req, res) => void this.#handle(req, res));
    }

    /** Takes in what operators allow callers; the daemon's own bounds hold where they say nothing. */
    allow(allowed: CallerLimits): void {
        this.#allowed = allowed;
        this.#server.headersTimeout = allowed.headersTimeoutMs ?? this.limits.headersTimeoutMs;
        this.#server.keepAliveTimeout = allowed.keepAliveMs ?? this.limits.keepAliveMs;
    }

    get inFlight(): number {
        return this.#inFlight;
    }

    listen(address: string): Promise<void> {
        return listen(this.#server, address);
    }

    /** From now on each answer ends its connection; what still arrives is served. */
    wind(): void {
        this.#stopping = true;
    }

    /** Takes no more connections, ends idle ones, and resolves when no new request can come. */
    close(): Promise<void> {
        return closeServer(this.#server);
    }

    /** Cuts what is left. */
    destroy(): void {
        this.#server.closeAllConnections();
    }

    async #handle(req: IncomingMessage, res: ServerResponse): Promise<void> {
        const startedAt = this.parts.clock();
        this.#inFlight += 1;
        res.shouldKeepAlive = res.shouldKeepAlive && !this.#stopping;
        res.on("error", () => {});
        try {
            await this.#serve(req, res, startedAt);
        }
        catch (err) {
            logger.trouble("A request failed.", err);
            sendProblem(res, this.parts.vocabulary, "internal", { outcome: "unknown", detail: "internal" });
        }
        finally {
            this.#inFlight -= 1;
        }
    }

    async #serve(req: IncomingMessage, res: ServerResponse, startedAt: number): Promise<void> {
        const path = pathOf(req);
        if (path === undefined) {
            this.#refuse(res, "bad-request", "target");
            return;
        }
        if (headBytes(req) > (this.#allowed.headerBytes ?? this.limits.headerBytes)) {
            this.#refuse(res, "head-too-large", "header");
            return;
        }
        const plan = this.#plan(req, res, path, startedAt);
        if (plan === undefined) {
            return;
        }
        const body = await this.#body(req, res);
        if (body === undefined) {
            return;
        }
        const headers = this.#headers(req);
        const out = { id: this.#idOf(req), method: req.method ?? "GET", headers, path, body };
        const exchange = new Exchange(res, plan, out, this.parts);
        const outcome = await exchange.run();
        this.#noteFailure(req, outcome, res.statusCode);
        const elapsedMs = this.parts.clock() - startedAt;
        this.parts.metrics.finished(plan, outcome, elapsedMs);
        const { rule, kind, service } = plan;
        logger[outcome === "served" ? "decision" : "failure"](out.id, "The request has ended.", {
            outcome,
            status: res.statusCode,
            rule: rule.name,
            kind,
            service: service.name,
            revision: this.parts.revision(),
            tries: exchange.tries,
            ms: Math.round(elapsedMs),
            limitMs: Math.round(plan.deadline - startedAt),
        });
    }

    #idOf(req: IncomingMessage): string {
        return this.parts.vocabulary.idOf(req.headers, this.parts.newId());
    }

    #plan(req: IncomingMessage, res: ServerResponse, path: string, now: number): Plan | undefined {
        const revision = this.parts.revision();
        if (revision === 0) {
            logger.failure(this.#idOf(req), "No configuration is known yet.", {});
            this.#refuse(res, "not-ready", "", RETRY_SOON_MS);
            return undefined;
        }
        const { method = "GET", headers: { host } } = req;
        const ruling = this.source.find({ method, host, path }, this.parts.random());
        if (ruling === undefined) {
            logger.failure(this.#idOf(req), "No rule matches.", { host, path, revision });
            this.#refuse(res, "no-rule", `${method} ${path}`);
            return undefined;
        }
        const { vocabulary } = this.parts;
        const parent = this.#parentOf(req);
        if (parent !== undefined) {
            parent.calls = true;
        }
        const depth = parent === undefined ? 0 : parent.depth + 1;
        if (depth > MAX_DEPTH) {
            this.#refuse(res, "too-deep", `depth ${depth}`);
            return undefined;
        }
        const { callerTimeLimit } = vocabulary;
        const given = callerTimeLimit === undefined ? undefined : req.headers[callerTimeLimit];
        const limitMs = Math.min(ruling.rule.timeLimitMs, timeLimitOf(given));
        const deadline = Math.min(now + limitMs, parent?.deadline ?? Infinity);
        return { ...ruling, startedAt: now, deadline, depth };
    }

    async #body(req: IncomingMessage, res: ServerResponse): Promise<Awaited<ReturnType<typeof readBody>> | undefined> {
        const { keepBytes } = this.limits;
        const maxBytes = this.#allowed.bodyBytes ?? this.limits.bodyBytes;
        try {
            return await readBody(req, { keepBytes, maxBytes });
        }
        catch (err) {
            if (err instanceof BodyError && err.tooLarge) {
                res.shouldKeepAlive = false;
                this.#refuse(res, "body-too-large", `at most ${maxBytes} bytes`);
                return undefined;
            }
            res.destroy();
            return undefined;
        }
    }

    #headers(req: IncomingMessage): HttpHeaders {
        const headers = cleanHeaders(req.headers);
        const { callerService } = this.source;
        if (callerService !== undefined) {
            headers[this.parts.vocabulary.callerService] = callerService;
        }
        return headers;
    }

    #refuse(res: ServerResponse, type: ProblemType, detail: string, retryAfterMs?: number): void {
        sendProblem(res, this.parts.vocabulary, type, { outcome: "not-run", detail, retryAfterMs });
    }

    /** The request for which the upstream beside this daemon makes this call; undefined for a caller's own. */
    #parentOf(req: IncomingMessage): ReturnType<Contexts["find"]> {
        const { vocabulary } = this.parts;
        const token = req.headers[vocabulary.context] as string | undefined;
        return this.source.contexts.find(token) ?? this.source.contexts.ofRequest(vocabulary.parentOf(req.headers));
    }

    /** Tells the hop above that this one has retried already, so that a chain of calls does not multiply. */
    #noteFailure(req: IncomingMessage, outcome: string, status: number): void {
        if (outcome === "served" && status < httpStatus.internalServerError) {
            return;
        }
        const parent = this.#parentOf(req);
        if (parent !== undefined) {
            parent.retriedBelow = true;
        }
    }
}
