/** The calling end of one connection to a peer, which carries one request at a time. */
import type { Socket } from "node:net";
import { Readable } from "node:stream";
import type { GateCall } from "../hop/gatecall.js";
import { log } from "../log/log.js";
import type { Clock } from "../time/clock.js";
import { readResponseMetadata } from "../wire/readresponsemetadata.js";
import type { ResponseMetadata } from "../wire/responsemetadata.js";
import { emptyBuffer } from "./emptybuffer.js";
import type { Frame } from "./frame.js";
import { FramedBody } from "./framedbody.js";
import { FrameReader } from "./framereader.js";
import { frameType } from "./frametype.js";
import { isBodyFrame } from "./isbodyframe.js";
import { LinkError } from "./linkerror.js";
import { packCall } from "./packcall.js";
import { sendBody } from "./sendbody.js";
import { unpackAnswer } from "./unpackanswer.js";
import { unpackList } from "./unpacklist.js";
import type { WireAnswer } from "./wireanswer.js";
import { writeFrame } from "./writeframe.js";

const logger = log("peer");

/** An answer whose body is whole, or comes as a stream that fails when it breaks off. */
type LinkResponse = Omit<WireAnswer, "body"> & { readonly body: Buffer | Readable | undefined; };

/** An answer that takes longer has the connection checked, in milliseconds: most answers come sooner. */
const OVERDUE_MS = 250;
/** A request's own bytes are on their way first: a megabit a second, less than any link that was seen. */
const MIN_BYTES_PER_MS = 125;

/** `onFree` is called after each request when the connection may carry another, `onOverdue` while an answer is overdue. */
type LinkEvents = {
    readonly clock: Clock;
    readonly onIdle: (connection: LinkConnection) => void;
    readonly onOverdue: (connection: LinkConnection) => Promise<void>;
    /** The other end answers probes. */
    readonly onProbeSupport: () => void;
};

type PendingResponse = {
    readonly resolve: (response: LinkResponse) => void;
    readonly reject: (err: LinkError) => void;
};

export class LinkConnection {
    readonly #reader = new FrameReader();
    #pending: PendingResponse | undefined;
    #body: FramedBody | undefined;
    #isLast = false;
    #isSending = false;
    #removeAbortListener: () => void = () => {};
    #receivedAt = -Infinity;
    #onReceived: () => void = () => {};
    #onProbeResponse: (note: ResponseMetadata | undefined) => void = () => {};
    #overdueTimer: NodeJS.Timeout | undefined;

    constructor(private readonly socket: Socket, private readonly events: LinkEvents) {
        socket.on("data", (chunk: Buffer) => this.#read(chunk));
        socket.on("error", () => {
            // `close` follows, and ends what waits for an answer.
        });
        socket.on("close", () => this.#handleClose());
    }

    get open(): boolean {
        return !this.socket.destroyed && this.socket.writable && this.socket.readable;
    }

    /** Sends a request; rejects with a LinkError. Calling it off ends the connection. */
    send(call: GateCall): Promise<LinkResponse> {
        if (call.cancel.aborted) {
            this.events.onIdle(this);
            return Promise.reject(new LinkError("called-off"));
        }
        this.#removeAbortListener = call.cancel.onAbort(() => this.destroy());
        return new Promise((resolve, reject) => {
            this.#pending = { resolve, reject };
            this.#write(call);
            this.#watchUnlessStreaming(call.body);
        });
    }

    /** Asks the other end for a sign; resolves with false when none comes in time. */
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
     * Asks who is at the other end; resolves with undefined when it does not say: older versions answer without a word, or end the
     * connection. Rejects with a LinkError when nothing comes.
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
            this.#onProbeResponse = note => {
                clearTimeout(timer);
                this.socket.removeListener("close", onClose);
                this.#onProbeResponse = () => {};
                resolve(note);
            };
        });
    }

    /** True when anything has come on it since, or when none is read here, since the answer's reader holds it up. */
    hasActivitySince(since: number): boolean {
        return this.#receivedAt >= since || this.socket.isPaused();
    }

    /** True while a request has no answer, or its answer's body is still coming. */
    get busy(): boolean {
        return this.#pending !== undefined || this.#body !== undefined;
    }

    destroy(): void {
        this.socket.destroy();
    }

    #write(call: GateCall): void {
        const { body } = call;
        if (!(body instanceof Readable)) {
            this.socket.write(writeFrame(frameType.call, packCall(call, body)));
            return;
        }
        this.#isSending = true;
        this.socket.write(writeFrame(frameType.call, packCall(call, "follows")));
        sendBody(body, this.socket, () => this.#isSending = false);
    }

    /** A probe would lie behind a body that the other end need not have read: such a request has all of its time. */
    #watchUnlessStreaming(body: GateCall["body"]): void {
        if (!(body instanceof Readable)) {
            this.#scheduleOverdueCheck(OVERDUE_MS + (body?.length ?? 0) / MIN_BYTES_PER_MS);
        }
    }

    /** Looks again and again, since a connection that carried something may fall silent later. */
    #scheduleOverdueCheck(afterMs = OVERDUE_MS): void {
        const since = this.events.clock();
        clearTimeout(this.#overdueTimer);
        const timer = setTimeout(() => void this.#checkOverdue(since, timer), afterMs);
        this.#overdueTimer = timer;
    }

    /** Goes on only while it is the same request's: the next one may be of those that are not watched. */
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
            logger.warn("A peer's answer can't be read; its connection is ended.", err);
            this.destroy();
        }
    }

    #receive(frame: Frame): void {
        if (frame.type === frameType.response) {
            this.#receiveResponse(unpackAnswer(frame.payload));
            return;
        }
        if (frame.type === frameType.probeResponse) {
            this.#onProbeResponse(
                frame.payload.length === 0 ? undefined : readResponseMetadata(unpackList(frame.payload)),
            );
            return;
        }
        if (!isBodyFrame(frame)) {
            this.destroy();
            return;
        }
        if (this.#body?.add(frame)) {
            this.#finish();
        }
    }

    #receiveResponse({ note: { probes, ...note }, ...rest }: WireAnswer): void {
        const response = { ...rest, note };
        if (probes === true) {
            this.events.onProbeSupport();
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
        if (this.#isLast || this.#isSending) {
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
