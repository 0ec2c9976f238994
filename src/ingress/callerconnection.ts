/**
 * Bounds and orders the requests of one caller's connection.
 *
 * Owns the list of accepted requests that have no complete response, and the requests that were parsed but not
 * accepted. Relies on Node's HTTP server, which parses requests as they arrive and sends the responses in the order of
 * the requests: a response has a socket only while it is the first one.
 */
import type { IncomingMessage, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { BodyDiscard } from "./bodydiscard.js";
import type { ConnectionDependencies } from "./connectiondependencies.js";
import { connectionProblem } from "./connectionproblem.js";
import { DisconnectProbe } from "./disconnectprobe.js";
import type { ParsedRequest } from "./parsedrequest.js";
import { ReadPause } from "./readpause.js";

/** Requests that are parsed beyond the accepted ones before reading stops for good. */
const MAX_PARSED_AHEAD = 256;

/** Dependencies of one connection. */
type Dependencies = ConnectionDependencies & {
    /** True during a planned stop. */
    readonly isStopping: () => boolean;
};

/** The state of one connection, from its acceptance to its end. */
export class CallerConnection {
    readonly #accepted: ServerResponse[] = [];
    readonly #waiting: ParsedRequest[] = [];
    readonly #probe: DisconnectProbe;
    /** True once no further request may be accepted; those that are parsed are dropped. */
    #isSealed = false;
    #isHalfClosed = false;
    readonly #reading: ReadPause;
    readonly #discard: BodyDiscard;
    #droppedCount = 0;
    /** The bytes that had been read when the last response was sent; undefined before the first response. */
    #bytesReadAtAnswer: number | undefined;
    /** The response to bytes that could not be parsed; sent once the requests before them are answered. */
    #problem: string | undefined;

    constructor(private readonly socket: Socket, private readonly deps: Dependencies) {
        this.#reading = new ReadPause(socket);
        this.#discard = new BodyDiscard(socket, deps.discardLimits, () => deps.onLimit("discard-limit", socket));
        this.#discard.lingerOnClose(() => this.#accepted[0]);
        this.#probe = new DisconnectProbe(socket, () => this.#accepted[0]?.headersSent === false);
        socket.on("end", () => this.#handleEnd());
        socket.on("close", () => this.#handleClose());
    }

    /** The number of requests that wait behind another one on this connection, whether accepted or not. */
    get waitingCount(): number {
        return Math.max(0, this.#accepted.length - 1) + this.#waiting.length;
    }

    /** Returns the number of requests that wait behind the given accepted one. */
    behind(res: ServerResponse): number {
        const index = this.#accepted.indexOf(res);
        return index < 0 ? 0 : this.#accepted.length - 1 - index + this.#waiting.length;
    }

    /** Returns true if no request behind this one has been accepted. */
    isLast(res: ServerResponse): boolean {
        return this.#accepted.at(-1) === res;
    }

    /** Accepts a request that was parsed, keeps it until it can be accepted, or drops it. */
    offer(req: IncomingMessage, res: ServerResponse): void {
        if (this.#isSealed) {
            this.#drop(1);
        }
        else if (this.#waiting.length === 0 && this.#accepted.length < this.deps.maxAccepted) {
            this.#accept({ req, res, arrivedAt: this.deps.clock() });
            return;
        }
        else {
            this.#waiting.push({ req, res, arrivedAt: this.deps.clock() });
        }
        this.#pauseIfNeeded();
    }

    /** Ends the connection with an error response as soon as the requests before it are answered. */
    fail(errorCode: string | undefined): void {
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
        if (this.#accepted.at(-1)?.headersSent === false) {
            this.#seal();
        }
    }

    /** Closes the connection if its responses were sent and nothing was received since. */
    closeIfIdle(): void {
        if (this.#accepted.length === 0 && this.socket.bytesRead === this.#bytesReadAtAnswer) {
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
        const isEnding = this.#isSealed || this.#isHalfClosed && this.#waiting.length === 0;
        if (isEnding && this.#problem === undefined) {
            res.shouldKeepAlive = false;
        }
        if (!res.shouldKeepAlive) {
            this.#seal();
        }
    }

    #accept(request: ParsedRequest): void {
        const { res } = request;
        this.#accepted.push(res);
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
        this.#drop(this.#waiting.length);
        this.#waiting.length = 0;
        // Unread data would make the system reset the connection when it is closed, and discard the last response.
        this.#reading.resume();
    }

    #drop(count: number): void {
        this.#droppedCount += count;
        for (let dropped = 0; dropped < count; dropped++) {
            this.deps.onDropped();
        }
    }

    #handleAnswered(res: ServerResponse): void {
        const index = this.#accepted.indexOf(res);
        if (index >= 0) {
            this.#accepted.splice(index, 1);
        }
        if (this.socket.destroyed) {
            return;
        }
        this.#bytesReadAtAnswer = this.socket.bytesRead;
        this.#discard.startIfIncomplete(res);
        this.#acceptWaiting();
        this.#sendProblemIfDue();
        if (this.#isSealed && this.#accepted.length === 0) {
            this.socket.destroySoon();
        }
    }

    #acceptWaiting(): void {
        while (!this.#isSealed && this.#waiting.length > 0 && this.#accepted.length < this.deps.maxAccepted) {
            this.#accept(this.#waiting.shift()!);
        }
        if (this.#waiting.length === 0) {
            this.#reading.resume();
        }
    }

    /** The request whose body could not be parsed is the last accepted one, and gets the response to the error. */
    #sendProblemIfDue(): void {
        const [first] = this.#accepted;
        const isDue = first === undefined || this.#accepted.length === 1 && !first.req.complete;
        if (this.#problem === undefined || this.#waiting.length > 0 || !isDue) {
            return;
        }
        this.#isSealed = true;
        if (first?.headersSent === true) {
            this.socket.destroy();
            return;
        }
        this.socket.write(this.#problem);
        this.socket.destroySoon();
    }

    #pauseIfNeeded(): void {
        const aheadCount = this.#waiting.length + this.#droppedCount;
        if (this.#reading.isPaused || this.#isSealed && aheadCount < MAX_PARSED_AHEAD) {
            return;
        }
        this.#reading.pause(aheadCount < MAX_PARSED_AHEAD);
    }

    /** A caller that has ended its side may still read, unless it has left, which a probe finds out. */
    #handleEnd(): void {
        this.#isHalfClosed = true;
        const [first] = this.#accepted;
        if (first?.headersSent === true && !first.writableEnded) {
            // A stream can't be probed; a caller that leaves during one is far more usual than one that half-closes.
            this.socket.destroy();
        }
        else if (first !== undefined) {
            this.#probe.start();
        }
    }

    /** Node emits `close` only for the first response; the others are cancelled here. */
    #handleClose(): void {
        this.#probe.stop();
        this.#reading.end();
        this.#discard.stop();
        this.#isSealed = true;
        this.#waiting.length = 0;
        for (const res of this.#accepted.splice(0)) {
            if (res.socket === null) {
                res.destroy();
                res.emit("close");
            }
        }
    }
}
