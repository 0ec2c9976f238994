/**
 * Bounds and orders the requests of one caller's connection.
 *
 * Owns the list of accepted requests that have no complete response, and the requests that were parsed but not
 * accepted. Relies on Node's HTTP server, which parses requests as they arrive and sends the responses in the order of
 * the requests: a response has a socket only while it is the first one.
 */
import type { IncomingMessage, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import type { ConnectionState } from "../policy/connections/connectionstate.js";
import { AcceptedRequests } from "./acceptedrequests.js";
import { BodyDiscard } from "./bodydiscard.js";
import { CallerPresence } from "./callerpresence.js";
import type { ClosureReason } from "./closurereason.js";
import { connectionProblem } from "./connectionproblem.js";
import { connectionStateOf } from "./connectionstateof.js";
import type { OwnConnectionDependencies } from "./ownconnectiondependencies.js";
import type { ParsedRequest } from "./parsedrequest.js";
import { ReadPause } from "./readpause.js";
import { requestBytes } from "./requestbytes.js";
import { resetCutResponse } from "./resetcutresponse.js";
import { TurnShare } from "./turnshare.js";
import { WaitingRequests } from "./waitingrequests.js";

/** The state of one connection, from its acceptance to its end. */
export class CallerConnection {
    readonly #accepted = new AcceptedRequests();
    readonly #waiting: WaitingRequests;
    /** Whether the caller is still there. */
    readonly presence: CallerPresence;
    /** True once no further request may be accepted; those that are parsed are dropped. */
    #isSealed = false;
    /** Pauses the reading while other connections have their turn. */
    readonly turnPause: ReadPause;
    readonly #discard: BodyDiscard;
    readonly #turnShare = new TurnShare(() => this.#acceptWaiting());
    /** The bytes that had been read when the last response was sent; undefined before the first response. */
    #bytesReadAtAnswer: number | undefined;
    /** The response to bytes that could not be parsed; sent once the requests before them are answered. */
    #problem: string | undefined;

    /** The time of the last change from or to a connection without requests. */
    #changedAt: number;

    constructor(private readonly socket: Socket, private readonly deps: OwnConnectionDependencies) {
        this.#changedAt = deps.clock();
        this.#waiting = new WaitingRequests(socket, deps.onDropped);
        this.turnPause = new ReadPause(socket);
        this.#discard = new BodyDiscard(socket, deps.discardLimits, () => deps.onLimit("discard-limit", socket));
        this.#discard.lingerOnClose(() => this.#accepted.first?.res);
        resetCutResponse(socket, () => this.#accepted.first?.res);
        const mayProbe = (): boolean => this.#accepted.first?.res.headersSent === false;
        this.presence = new CallerPresence(socket, { ...deps, mayProbe, isPaused: () => this.#waiting.count > 0 });
        socket.on("end", () => this.#handleEnd());
        socket.on("close", () => this.#handleClose());
    }

    /** The number of requests that wait behind another one on this connection, whether accepted or not. */
    get waitingCount(): number {
        return Math.max(0, this.#accepted.count - 1) + this.#waiting.count;
    }

    get state(): ConnectionState {
        return connectionStateOf(this.#accepted.first, this.#bytesReadAtAnswer !== undefined);
    }

    /** The time since which the connection has had its state, at least; in milliseconds on the daemon's clock. */
    get since(): number {
        return this.#accepted.first?.arrivedAt ?? this.#changedAt;
    }

    /** Returns the number of requests that wait behind the given accepted one. */
    behind(res: ServerResponse): number {
        const acceptedCount = this.#accepted.behind(res);
        return acceptedCount === undefined ? 0 : acceptedCount + this.#waiting.count;
    }

    /** Returns true if no request behind this one has been accepted. */
    isLast(res: ServerResponse): boolean {
        return this.#accepted.last?.res === res;
    }

    /** Accepts a request that was parsed, keeps it until it can be accepted, or drops it. */
    offer(req: IncomingMessage, res: ServerResponse): void {
        if (this.socket.destroyed) {
            return;
        }
        const arrivedAt = this.deps.clock();
        const maxUnreadMs = this.presence.unreadMs(arrivedAt);
        const request = { req, res, arrivedAt, maxUnreadMs, bytes: requestBytes(req) };
        this.deps.requestMemory.add(this, request.bytes);
        this.deps.requestMemory.excess()?.closeForLimit("request-memory");
        this.deps.onParsed(request.bytes);
        if (this.#isSealed) {
            this.#waiting.dropNext();
        }
        else if (this.#waiting.count === 0 && this.#accepted.count < this.deps.maxAccepted) {
            this.#accept(request);
        }
        else {
            this.#waiting.add(request);
        }
    }

    /** Closes the connection at once: what it holds exceeds a limit. */
    closeForLimit(reason: ClosureReason): void {
        this.deps.onLimit(reason, this.socket);
        this.#isSealed = true;
        this.deps.requestMemory.remove(this);
        this.socket.destroy();
    }

    /** Ends the connection with an error response as soon as the requests before it are answered. */
    fail(errorCode: string | undefined): void {
        if (this.#discard.isActive) {
            // The request has its response; another one would belong to none.
            this.socket.destroy();
            return;
        }
        if (this.#isSealed || this.#problem !== undefined) {
            return;
        }
        this.#problem = connectionProblem(errorCode);
        this.#sendProblemIfDue();
    }

    /**
     * Accepts nothing more if the last response can still close the connection. One that has begun has told the caller
     * that the connection stays open; then, and on an idle connection, one more request is served, which closes it.
     */
    startClosing(): void {
        if (this.#accepted.last?.res.headersSent === false) {
            this.#seal();
        }
    }

    /** Closes the connection if its responses were sent and nothing was received since. */
    closeIfIdle(): void {
        if (this.#accepted.count + this.#waiting.count === 0 && this.socket.bytesRead === this.#bytesReadAtAnswer) {
            this.socket.destroySoon();
        }
    }

    /** Makes the response the last one of the connection, if nothing behind it has been accepted. */
    closeAfter(res: ServerResponse): void {
        if (this.isLast(res)) {
            this.#seal();
        }
    }

    /** Decides, immediately before a response is written, whether it closes the connection. */
    prepareResponse(res: ServerResponse): void {
        if (!this.isLast(res)) {
            return;
        }
        const isEnding = this.#isSealed || this.presence.isHalfClosed && this.#waiting.count === 0;
        if (isEnding && this.#problem === undefined) {
            res.shouldKeepAlive = false;
        }
        if (!res.shouldKeepAlive) {
            this.#seal();
        }
    }

    #accept(request: ParsedRequest): void {
        const { res } = request;
        this.#accepted.add(request);
        res.on("close", () => this.#handleAnswered(res));
        if (!res.shouldKeepAlive || this.deps.isStopping()) {
            this.#seal();
        }
        this.deps.serve(request, this);
    }

    #seal(): void {
        if (this.#isSealed) {
            return;
        }
        this.#isSealed = true;
        this.#waiting.dropAll();
    }

    #handleAnswered(res: ServerResponse): void {
        const request = this.#accepted.remove(res);
        if (this.socket.destroyed) {
            return;
        }
        this.deps.requestMemory.add(this, -(request?.bytes ?? 0));
        this.#bytesReadAtAnswer = this.socket.bytesRead;
        this.#changedAt = this.deps.clock();
        this.#discard.startIfIncomplete(res);
        this.#acceptWaiting();
        this.#sendProblemIfDue();
        if (this.#isSealed && this.#accepted.count === 0) {
            this.socket.destroySoon();
        }
    }

    #acceptWaiting(): void {
        while (!this.#isSealed && this.#waiting.count > 0 && this.#accepted.count < this.deps.maxAccepted) {
            if (!this.#turnShare.take()) {
                return;
            }
            this.#accept(this.#waiting.take());
        }
        this.#waiting.readIfEmpty();
    }

    /** The request whose body could not be parsed is the last accepted one, and gets the response to the error. */
    #sendProblemIfDue(): void {
        const { first } = this.#accepted;
        const isDue = first === undefined || this.#accepted.count === 1 && !first.req.complete;
        if (this.#problem === undefined || this.#waiting.count > 0 || !isDue) {
            return;
        }
        this.#isSealed = true;
        if (first?.res.headersSent === true) {
            this.socket.destroy();
            return;
        }
        this.socket.write(this.#problem);
        this.socket.destroySoon();
    }

    /** A caller that has ended its side may still read, unless it has left, which a probe finds out. */
    #handleEnd(): void {
        this.presence.recordEnd();
        const { first } = this.#accepted;
        if (first?.res.headersSent === true && !first.res.writableEnded) {
            // A stream can't be probed; a caller that leaves during one is far more usual than one that half-closes.
            this.socket.destroy();
        }
    }

    /** Node emits `close` only for the first response; the others are cancelled here. */
    #handleClose(): void {
        this.presence.recordClose();
        this.#discard.stop();
        this.#turnShare.stop();
        this.#isSealed = true;
        this.#waiting.end();
        this.deps.requestMemory.remove(this);
        for (const { res } of this.#accepted.removeAll()) {
            if (res.socket === null) {
                res.destroy();
                res.emit("close");
            }
        }
    }
}
