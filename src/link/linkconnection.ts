/** Implements the requesting end of a connection to a peer, which carries one request at a time. */
import type { Socket } from "node:net";
import { Readable } from "node:stream";
import type { GateCall } from "../hop/gatecall.js";
import { log } from "../log/log.js";
import type { Clock } from "../time/clock.js";
import { readResponseMetadata } from "../wire/readresponsemetadata.js";
import type { ResponseMetadata } from "../wire/responsemetadata.js";
import { CallSender } from "./callsender.js";
import { emptyBuffer } from "./emptybuffer.js";
import type { Frame } from "./frame.js";
import { FramedBody } from "./framedbody.js";
import { FrameReader } from "./framereader.js";
import { frameType } from "./frametype.js";
import { isBodyFrame } from "./isbodyframe.js";
import { LinkError } from "./linkerror.js";
import { unpackList } from "./unpacklist.js";
import { unpackResponse } from "./unpackresponse.js";
import type { WireResponse } from "./wireresponse.js";
import { writeFrame } from "./writeframe.js";

const logger = log("peer");

/** A response whose body is buffered, or a stream that fails if the body breaks off. */
type LinkResponse = Omit<WireResponse, "body"> & { readonly body: Buffer | Readable | undefined; };

/** A response that takes longer triggers a check of the connection; most responses arrive sooner. */
const OVERDUE_MS = 250;
/** Extends the time to the check by the request's transmission, at 1 Mbit/s: slower than any known link. */
const MIN_BYTES_PER_MS = 125;

/** `onIdle` is called when the connection can carry another request, `onOverdue` while a response is overdue. */
type LinkEvents = {
    readonly clock: Clock;
    readonly onIdle: (connection: LinkConnection) => void;
    readonly onOverdue: (connection: LinkConnection) => Promise<void>;
    /** Called with metadata that states that the peer responds to probes, and whether it asks for bodies. */
    readonly onFeatures: (metadata: ResponseMetadata) => void;
};

type PendingResponse = {
    readonly resolve: (response: LinkResponse) => void;
    readonly reject: (err: LinkError) => void;
};

/** Sends requests one after the other; `onIdle` notifies the pool when the next one can be sent. */
export class LinkConnection {
    readonly #reader = new FrameReader();
    readonly #sender: CallSender;
    #pending: PendingResponse | undefined;
    #body: FramedBody | undefined;
    #isLast = false;
    #removeAbortListener: () => void = () => {};
    #receivedAt = -Infinity;
    #onReceived: () => void = () => {};
    #onProbeResponse: (metadata: ResponseMetadata | undefined) => void = () => {};
    #overdueTimer: NodeJS.Timeout | undefined;

    constructor(private readonly socket: Socket, private readonly events: LinkEvents) {
        this.#sender = new CallSender(socket);
        socket.on("data", (chunk: Buffer) => this.#read(chunk));
        socket.on("error", () => {
            // The `close` event follows and rejects the pending request.
        });
        socket.on("close", () => this.#handleClose());
    }

    get open(): boolean {
        return !this.socket.destroyed && this.socket.writable && this.socket.readable;
    }

    /**
     * Sends a request; rejects with a LinkError. Cancelling the request closes the connection. With `isBodyOnDemand`,
     * the body is sent only when the peer asks for it; older versions would take the request for one without a body.
     */
    send(call: GateCall, isBodyOnDemand = false): Promise<LinkResponse> {
        if (call.cancel.aborted) {
            this.events.onIdle(this);
            return Promise.reject(new LinkError("called-off"));
        }
        this.#removeAbortListener = call.cancel.onAbort(() => this.destroy());
        return new Promise((resolve, reject) => {
            this.#pending = { resolve, reject };
            this.#sender.send(call, isBodyOnDemand);
            this.#watchUnlessStreaming(call.body);
        });
    }

    /** Sends a probe; resolves with false if nothing is received in time. */
    probe(timeoutMs: number): Promise<boolean> {
        this.socket.write(writeFrame(frameType.probe, emptyBuffer));
        return new Promise(resolve => {
            const timer = setTimeout(() => resolve(false), timeoutMs);
            this.#onReceived = () => {
                clearTimeout(timer);
                resolve(true);
            };
        });
    }

    /**
     * Requests the peer's incarnation and clock with a probe. Resolves with undefined if the peer does not state them:
     * older versions respond with an empty frame or close the connection. Rejects with a LinkError on a timeout.
     */
    requestIdentity(timeoutMs: number): Promise<ResponseMetadata | undefined> {
        this.socket.write(writeFrame(frameType.probe, emptyBuffer));
        return new Promise((resolve, reject) => {
            const timer = setTimeout(() => {
                this.destroy();
                reject(new LinkError("unreachable"));
            }, timeoutMs);
            const onClose = (): void => {
                clearTimeout(timer);
                resolve(undefined);
            };
            this.socket.once("close", onClose);
            this.#onProbeResponse = metadata => {
                clearTimeout(timer);
                this.socket.removeListener("close", onClose);
                this.#onProbeResponse = () => {};
                resolve(metadata);
            };
        });
    }

    /** Returns true if bytes were received since then, or if reading is paused for a slow reader of the response. */
    hasActivitySince(since: number): boolean {
        return this.#receivedAt >= since || this.socket.isPaused();
    }

    /** True while a request has no response, or its response's body is incomplete. */
    get busy(): boolean {
        return this.#pending !== undefined || this.#body !== undefined;
    }

    destroy(): void {
        this.socket.destroy();
    }

    /**
     * Excludes requests with a streamed body from the check: a probe would queue behind a body that the peer need not
     * read, so that a missing response to it proves nothing. Such a request can use all of its time.
     */
    #watchUnlessStreaming(body: GateCall["body"]): void {
        if (!(body instanceof Readable)) {
            this.#scheduleOverdueCheck(OVERDUE_MS + (body?.length ?? 0) / MIN_BYTES_PER_MS);
        }
    }

    /** Schedules the next check; checks are repeated, since a connection can become unresponsive later. */
    #scheduleOverdueCheck(afterMs = OVERDUE_MS): void {
        const since = this.events.clock();
        clearTimeout(this.#overdueTimer);
        const timer = setTimeout(() => void this.#checkOverdue(since, timer), afterMs);
        this.#overdueTimer = timer;
    }

    /** Schedules another check only for the same request: the next one may be excluded from the checks. */
    async #checkOverdue(since: number, timer: NodeJS.Timeout): Promise<void> {
        if (!this.hasActivitySince(since)) {
            await this.events.onOverdue(this);
        }
        if (this.#overdueTimer === timer && this.busy && this.open) {
            this.#scheduleOverdueCheck();
        }
    }

    #read(chunk: Buffer): void {
        this.#receivedAt = this.events.clock();
        this.#onReceived();
        try {
            this.#reader.read(chunk).forEach(frame => this.#receive(frame));
        }
        catch (err) {
            logger.warn("Could not decode a response from a peer; its connection is closed.", err);
            this.destroy();
        }
    }

    #receive(frame: Frame): void {
        if (frame.type === frameType.response) {
            this.#receiveResponse(unpackResponse(frame.payload));
            return;
        }
        if (frame.type === frameType.probeResponse) {
            this.#onProbeResponse(
                frame.payload.length === 0 ? undefined : readResponseMetadata(unpackList(frame.payload)),
            );
            return;
        }
        if (!isBodyFrame(frame)) {
            if (!this.#sender.answer(frame, this.events.clock())) {
                this.destroy();
            }
            return;
        }
        if (this.#body?.add(frame)) {
            this.#finish();
        }
    }

    #receiveResponse({ metadata: receivedMetadata, ...rest }: WireResponse): void {
        const { probes, bodiesOnDemand: _bodiesOnDemand, ...metadata } = receivedMetadata;
        const response = { ...rest, metadata };
        if (probes === true) {
            this.events.onFeatures(receivedMetadata);
        }
        const pending = this.#pending;
        if (pending === undefined) {
            this.destroy();
            return;
        }
        this.#pending = undefined;
        this.#isLast = response.last;
        if (response.body === "follows") {
            this.#body = new FramedBody(this.socket, () => this.destroy());
            pending.resolve({ ...response, body: this.#body.stream });
            return;
        }
        this.#finish();
        pending.resolve({ ...response, body: response.body });
    }

    #finish(): void {
        clearTimeout(this.#overdueTimer);
        this.#overdueTimer = undefined;
        this.#removeAbortListener();
        this.#removeAbortListener = () => {};
        this.#body = undefined;
        this.#sender.end();
        if (this.#isLast || this.#sender.isSending) {
            this.destroy();
            return;
        }
        this.events.onIdle(this);
    }

    #handleClose(): void {
        clearTimeout(this.#overdueTimer);
        this.#removeAbortListener();
        this.#pending?.reject(new LinkError("peer-broke"));
        this.#pending = undefined;
        this.#body?.fail("peer-broke");
        this.#body = undefined;
    }
}
