/**
 * Listens for requests and calls of other daemons, which authenticate with the shared key. Requests use the framed
 * protocol of src/link, calls use tRPC over HTTP.
 */
import { timingSafeEqual } from "node:crypto";
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { headerName } from "../dialect/headername.js";
import type { Gate } from "../gate/gate.js";
import type { GateIdentity } from "../gate/gateidentity.js";
import type { GateResponse } from "../hop/gateresponse.js";
import { HopError } from "../hop/hoperror.js";
import type { Cancellation } from "../http/cancellation.js";
import { httpStatus } from "../http/httpstatus.js";
import type { ServiceName } from "../ids/servicename.js";
import type { UpstreamName } from "../ids/upstreamname.js";
import { detectProtocol } from "../link/detectprotocol.js";
import { LinkSession } from "../link/linksession.js";
import type { ServedCall } from "../link/servedcall.js";
import type { ServedResponse } from "../link/servedresponse.js";
import { log } from "../log/log.js";
import type { BodyMemory } from "../policy/admission/bodymemory.js";
import { bodyMemoryRetryAfterMs } from "../policy/admission/bodymemoryretryafterms.js";
import type { MatchedRule } from "../policy/routing/matchedrule.js";
import type { RequestTarget } from "../policy/routing/requesttarget.js";
import type { Clock } from "../time/clock.js";
import { listen } from "../time/listen.js";
import type { UnreadMonitor } from "../time/unreadmonitor.js";
import type { RequestMetadata } from "../wire/requestmetadata.js";
import type { ResponseMetadata } from "../wire/responsemetadata.js";
import { BodyHold } from "./bodyhold.js";
import { handleCall } from "./handlecall.js";
import type { PeerService } from "./peerservice.js";
import { PendingCancel } from "./pendingcancel.js";
import { ResponseBodies } from "./responsebodies.js";

/** The response fields of a refusal, which consists of its metadata only. */
const REFUSAL = { status: 0, headers: {}, body: undefined };
const INVALID_CALL = "bad-call";
/** Longer than a peer keeps an idle connection (link/linkpool.ts). */
const KEEP_ALIVE_MS = 10_000;

const logger = log("peer");

/** Dependencies that the daemon provides. */
type PeerServerDependencies = {
    readonly key: string;
    readonly clock: Clock;
    readonly unread: UnreadMonitor;
    readonly identity: GateIdentity;
    readonly service: PeerService;
    readonly gate: (name: UpstreamName) => Gate | undefined;
    /** Pulls a newer configuration, so that the gate decides by it. */
    readonly pullConfiguration: (revision: number, from: string | undefined) => Promise<void>;
    /** Returns the rule of this daemon's configuration that matches a request. */
    readonly findRule: (target: RequestTarget) => MatchedRule | undefined;
    /**
     * Returns true if the sender's older rules allow repeating the request, or serving it here by an upstream of the
     * service, but this daemon's newer ones do not.
     */
    readonly isStale: (head: RequestMetadata, rule: MatchedRule | undefined, service: ServiceName) => boolean;
    /** Bounds the bytes of the bodies that are held. */
    readonly bodyMemory: BodyMemory;
    /** Called with the address of each sender of a request, so that load reports are sent to it. */
    readonly onSender: (address: string | undefined) => void;
    /** Called with each new connection and the IP address of its peer. */
    readonly onSocket?: (socket: Socket, ip: string | undefined) => void;
};

/** Passes requests to their gates and tRPC calls to the peer service. */
export class PeerServer {
    readonly #server: Server;
    readonly #key: Buffer;
    /** All connections, also those whose protocol is not known yet. */
    readonly #sockets = new Set<Socket>();
    readonly #sessions = new Set<LinkSession>();
    readonly #bodies = new ResponseBodies();
    readonly #pendingCancel: PendingCancel;
    #openCalls = 0;
    #isClosing = false;

    constructor(private readonly deps: PeerServerDependencies) {
        this.#key = Buffer.from(deps.key);
        this.#pendingCancel = new PendingCancel(deps.clock, deps.unread);
        this.#server = createServer({ keepAliveTimeout: KEEP_ALIVE_MS, requestTimeout: 0 }, (req, res) => {
            this.#handleHttp(req, res);
        });
        const [serveHttp] = this.#server.listeners("connection") as [(socket: Socket) => void];
        this.#server.removeAllListeners("connection");
        this.#server.on("connection", (socket: Socket) => {
            this.deps.onSocket?.(socket, socket.remoteAddress);
            this.#sockets.add(socket);
            socket.on("close", () => this.#sockets.delete(socket));
            detectProtocol(
                socket,
                () => serveHttp.call(this.#server, socket),
                firstBytes => this.#openSession(socket, firstBytes),
            );
        });
    }

    listen(address: string): Promise<void> {
        return listen(this.#server, address);
    }

    /** Number of requests and calls whose responses are incomplete, or not yet written to their sockets. */
    get inFlight(): number {
        return this.#openCalls + [...this.#sessions].filter(session => session.busy || session.hasUnsent).length;
    }

    /** Makes each later response the last one on its connection. */
    startClosing(): void {
        this.#isClosing = true;
    }

    /** Closes idle connections and keeps listening. */
    closeIdle(): void {
        this.#server.closeIdleConnections();
        this.#sessions.forEach(session => session.closeIfIdle());
    }

    /** Stops listening; resolves when all connections are closed. */
    close(): Promise<void> {
        return new Promise(resolve => this.#server.close(() => resolve()));
    }

    /** Closes all connections at once. */
    destroy(): void {
        this.#sockets.forEach(socket => socket.destroy());
    }

    #openSession(socket: Socket, firstBytes: Buffer): void {
        const session = new LinkSession(socket, {
            key: this.#key,
            serve: (call, cancel) => this.#serve(call, cancel),
            refuseInvalid: err => this.#refuseInvalid(socket, err),
            identity: () => this.#createMetadata({}),
            isClosing: () => this.#isClosing,
        });
        socket.setTimeout(KEEP_ALIVE_MS, () => session.closeIfStalled());
        this.#sessions.add(session);
        socket.on("close", () => this.#sessions.delete(session));
        session.read(firstBytes);
    }

    #handleHttp(req: IncomingMessage, res: ServerResponse): void {
        this.#openCalls += 1;
        res.on("close", () => this.#openCalls -= 1);
        res.shouldKeepAlive = res.shouldKeepAlive && !this.#isClosing;
        if (!this.#hasKey(req)) {
            res.writeHead(httpStatus.forbidden).end();
            return;
        }
        void handleCall(req, res, this.deps.service, this.#bodies);
    }

    #hasKey(req: IncomingMessage): boolean {
        const received = Buffer.from(String(req.headers[headerName.key] ?? ""));
        return received.length === this.#key.length && timingSafeEqual(received, this.#key);
    }

    async #serve(call: ServedCall, cancel: Cancellation): Promise<ServedResponse> {
        const { head } = call;
        const hold = new BodyHold(call, this.deps.bodyMemory);
        try {
            this.deps.onSender(head.from);
            hold.reserveReceived();
            await this.#pendingCancel.settle(call);
            await this.deps.pullConfiguration(head.revision, head.from);
            const { metadata, ...response } = await this.#sendToGate({ ...call, fetchBody: hold.fetchBody }, cancel);
            return { ...response, metadata: metadata ?? this.#createMetadata({}) };
        }
        catch (err) {
            return { metadata: this.#errorMetadata(err, head.upstream), ...REFUSAL };
        }
        finally {
            hold.release();
        }
    }

    #errorMetadata(err: unknown, upstream: UpstreamName): ResponseMetadata {
        if (!(err instanceof HopError)) {
            logger.warn(
                "A peer's request failed in its gate with an unexpected error; whether it has run is unknown.",
                err,
                { upstream },
            );
            return this.#createMetadata({ outcome: "unknown", reason: "gate-error" });
        }
        const { reason, metadata } = err;
        const outcome = err.outcome === "not-run" ? "not-run" : "unknown";
        const retryAfterMs = reason === "body-memory" ? bodyMemoryRetryAfterMs : undefined;
        return this.#createMetadata({ outcome, reason, retryAfterMs, ...metadata });
    }

    async #sendToGate(call: ServedCall, cancel: Cancellation): Promise<GateResponse> {
        const { head, method, path, headers, body, fetchBody } = call;
        const gate = this.deps.gate(head.upstream);
        if (gate === undefined) {
            throw new HopError("not-run", "no-such-upstream");
        }
        const host = Array.isArray(headers.host) ? headers.host[0] : headers.host;
        const matched = this.deps.findRule({ method, host, path });
        if (this.deps.isStale(head, matched, gate.upstream.service)) {
            throw new HopError("not-run", "stale-rule");
        }
        const settleCancel = this.#pendingCancel.createSettleCancel();
        const rule = matched?.rule.name;
        return await gate.serve({ head, rule, method, path, headers, body, cancel, settleCancel, fetchBody });
    }

    #refuseInvalid({ remoteAddress }: Socket, err: unknown): ServedResponse {
        logger.warn("Could not decode a request from a peer; it is refused.", err, { peer: remoteAddress });
        return { metadata: this.#createMetadata({ outcome: "not-run", reason: INVALID_CALL }), ...REFUSAL };
    }

    #createMetadata(fields: Partial<ResponseMetadata>): ResponseMetadata {
        return { ...this.deps.identity.responseMetadata(this.deps.clock()), ...fields };
    }
}
