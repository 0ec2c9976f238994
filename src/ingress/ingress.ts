/** The listener for callers. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import type { Document } from "../config/document.js";
import { findRuling } from "../config/findruling.js";
import type { Contexts } from "../gate/contexts.js";
import { cleanHeaders } from "../hop/cleanheaders.js";
import { headerName } from "../hop/headername.js";
import { listen } from "../time/listen.js";
import { log } from "../time/log.js";
import { BodyError } from "./bodyerror.js";
import { Exchange } from "./exchange.js";
import type { IngressParts } from "./ingressparts.js";
import { pathOf } from "./pathof.js";
import type { Plan } from "./plan.js";
import { readBody } from "./requestbody.js";
import { sendProblem } from "./sendproblem.js";

const debug = log("ingress");

/** Calls between services may be nested so deep. */
const MAX_DEPTH = 8;
const RETRY_SOON_MS = 1000;

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
    readonly document: () => Document;
    readonly fresh: () => boolean;
    readonly contexts: Contexts;
};

/** Matches callers' requests with rules and serves them. */
export class Ingress {
    readonly #server: Server;
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

    /** Takes no more connections, ends idle ones, and resolves when the rest have ended. */
    close(): Promise<void> {
        return new Promise(resolve => {
            this.#server.close(() => resolve());
            this.#server.closeIdleConnections();
        });
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
            debug("A request failed: %s.", err);
            sendProblem(res, "bad-request", { outcome: "unknown", detail: "internal" });
        }
        finally {
            this.#inFlight -= 1;
        }
    }

    async #serve(req: IncomingMessage, res: ServerResponse, startedAt: number): Promise<void> {
        const path = pathOf(req);
        if (path === undefined) {
            sendProblem(res, "bad-request", { outcome: "not-run", detail: "target" });
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
        const out = { method: req.method ?? "GET", headers: cleanHeaders(req.headers), path, body };
        const outcome = await new Exchange(res, plan, out, this.parts).run();
        this.#noteFailure(req, outcome, res.statusCode);
        this.parts.metrics.finished(plan, outcome, this.parts.clock() - startedAt);
    }

    #plan(req: IncomingMessage, res: ServerResponse, path: string, now: number): Plan | undefined {
        const document = this.source.document();
        if (document.revision === 0) {
            sendProblem(res, "not-ready", { outcome: "not-run", detail: "", retryAfterMs: RETRY_SOON_MS });
            return undefined;
        }
        const method = req.method ?? "GET";
        const ruling = findRuling(document, method, req.headers.host, path, this.source.fresh());
        if (ruling === undefined) {
            sendProblem(res, "no-rule", { outcome: "not-run", detail: `${method} ${path}` });
            return undefined;
        }
        const parent = this.source.contexts.find(req.headers[headerName.context] as string | undefined);
        const depth = parent === undefined ? 0 : parent.depth + 1;
        if (depth > MAX_DEPTH) {
            sendProblem(res, "too-deep", { outcome: "not-run", detail: `depth ${depth}` });
            return undefined;
        }
        const deadline = Math.min(now + ruling.rule.timeLimitMs, parent?.deadline ?? Infinity);
        return { ...ruling, deadline, depth };
    }

    async #body(req: IncomingMessage, res: ServerResponse): Promise<Awaited<ReturnType<typeof readBody>> | undefined> {
        const { keepBytes, bodyBytes: maxBytes } = this.limits;
        try {
            return await readBody(req, { keepBytes, maxBytes });
        }
        catch (err) {
            if (err instanceof BodyError && err.tooLarge) {
                res.shouldKeepAlive = false;
                sendProblem(res, "body-too-large", { outcome: "not-run", detail: `at most ${maxBytes} bytes` });
                return undefined;
            }
            res.destroy();
            return undefined;
        }
    }

    /** Tells the hop above that this one has retried already, so that a chain of calls does not multiply. */
    #noteFailure(req: IncomingMessage, outcome: string, status: number): void {
        const parent = this.source.contexts.find(req.headers[headerName.context] as string | undefined);
        if (parent !== undefined && (outcome !== "served" || status >= 500)) {
            parent.retriedBelow = true;
        }
    }
}
