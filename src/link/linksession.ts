/** The serving end of one connection from a peer, which carries one request at a time. */
import { pack } from "msgpackr";
import { timingSafeEqual } from "node:crypto";
import type { Socket } from "node:net";
import { Readable } from "node:stream";
import { Cancellation } from "../http/cancellation.js";
import { log } from "../log/log.js";
import type { ResponseMetadata } from "../wire/responsemetadata.js";
import { responseMetadataCodec } from "../wire/responsemetadatacodec.js";
import { bufferShortBody } from "./buffershortbody.js";
import { emptyBuffer } from "./emptybuffer.js";
import type { Frame } from "./frame.js";
import { FramedBody } from "./framedbody.js";
import { FrameReader } from "./framereader.js";
import { frameType } from "./frametype.js";
import { isBodyFrame } from "./isbodyframe.js";
import { packResponse } from "./packresponse.js";
import { sendBody } from "./sendbody.js";
import type { ServedAnswer } from "./servedanswer.js";
import type { ServedCall } from "./servedcall.js";
import { unpackCall } from "./unpackcall.js";
import type { WireAnswer } from "./wireanswer.js";
import type { WireCall } from "./wirecall.js";
import { writeFrame } from "./writeframe.js";

const logger = log("peer");

/** What a session needs of its listener; `serve` never rejects. */
type SessionDependencies = {
    readonly key: Buffer;
    readonly serve: (call: ServedCall, cancel: Cancellation) => Promise<ServedAnswer>;
    /** The refusal of a call that can't be read. */
    readonly refuseBad: (err: unknown) => ServedAnswer;
    /** Who serves here, and its clock: the answer to a probe. */
    readonly identity: () => ResponseMetadata;
    /** True when each answer is to be its connection's last. */
    readonly isClosing: () => boolean;
};

/** Ends the connection for whatever is not of the protocol. */
export class LinkSession {
    readonly #reader = new FrameReader();
    #isAuthenticated = false;
    #isFirst = true;
    #serving: Cancellation | undefined;
    #body: FramedBody | undefined;

    constructor(private readonly socket: Socket, private readonly deps: SessionDependencies) {
        socket.setNoDelay(true);
        socket.on("data", (chunk: Buffer) => this.read(chunk));
        socket.on("error", () => {
            // `close` follows, and ends what is served.
        });
        socket.on("end", () => {
            this.#handleClose();
            socket.destroy();
        });
        socket.on("close", () => this.#handleClose());
    }

    get busy(): boolean {
        return this.#serving !== undefined;
    }

    /** Reads bytes that have come from the socket. */
    read(chunk: Buffer): void {
        try {
            this.#reader.read(chunk).forEach(frame => this.#receive(frame));
        }
        catch (err) {
            logger.warn("A peer's connection is ended: it sent what is no frame.", err);
            this.destroy();
        }
    }

    /** Ends the connection if it carries nothing. */
    closeIfIdle(): void {
        if (!this.busy) {
            this.socket.end();
        }
    }

    /** Ends a connection on which nothing has moved for long, if it is idle or nobody takes what was written. */
    closeIfStalled(): void {
        if (this.socket.writableLength > 0) {
            this.destroy();
        }
        this.closeIfIdle();
    }

    destroy(): void {
        this.socket.destroy();
    }

    #receive(frame: Frame): void {
        if (!this.#isAuthenticated) {
            this.#authenticate(frame);
            return;
        }
        if (frame.type === frameType.probe) {
            this.socket.write(
                writeFrame(frameType.probeResponse, pack(responseMetadataCodec.write(this.deps.identity()))),
            );
            return;
        }
        if (frame.type === frameType.call) {
            this.#receiveCall(frame.payload);
            return;
        }
        if (!isBodyFrame(frame)) {
            this.destroy();
            return;
        }
        if (this.#body?.add(frame)) {
            this.#body = undefined;
        }
    }

    #authenticate({ type, payload }: Frame): void {
        this.#isAuthenticated = type === frameType.greeting && this.#matchesKey(payload);
        if (!this.#isAuthenticated) {
            this.destroy();
        }
    }

    #matchesKey(received: Buffer): boolean {
        const { key } = this.deps;
        return received.length === key.length && timingSafeEqual(received, key);
    }

    #receiveCall(payload: Buffer): void {
        if (this.busy) {
            this.destroy();
            return;
        }
        const call = this.#readCall(payload);
        if (call !== undefined) {
            this.#serve(call);
        }
    }

    /** Undefined for what can't be read; that is refused and logged by the listener. */
    #readCall(payload: Buffer): WireCall | undefined {
        try {
            return unpackCall(payload);
        }
        catch (err) {
            void this.#respond(this.deps.refuseBad(err), true);
            return undefined;
        }
    }

    #serve(call: WireCall): void {
        const cancel = this.#serving = new Cancellation();
        const body = call.body === "follows" ? this.#openBody() : call.body;
        void this.deps.serve({ ...call, body }, cancel).then(response =>
            this.#respond(response, call.head.answer === "whole")
        );
    }

    #openBody(): Readable {
        this.#body = new FramedBody(this.socket, () => {
            // The rest of the body is read, and the connection serves on.
        });
        return this.#body.stream;
    }

    async #respond({ body, ...response }: ServedAnswer, whole: boolean): Promise<void> {
        const buffered = whole && body instanceof Readable ? await bufferShortBody(body) : body;
        const last = this.deps.isClosing();
        if (this.socket.destroyed) {
            return;
        }
        if (buffered instanceof Readable) {
            this.#write({ ...response, last, body: "follows" });
            sendBody(buffered, this.socket, () => this.#finish(last));
            return;
        }
        if (buffered === "broken") {
            this.#write({ ...response, last, body: "follows" });
            this.socket.write(writeFrame(frameType.broken, emptyBuffer));
            this.#finish(last);
            return;
        }
        this.#write({ ...response, last, body: buffered });
        this.#finish(last);
    }

    #write({ note, ...response }: WireAnswer): void {
        const sentNote = this.#isFirst ? { ...note, probes: true } : note;
        this.#isFirst = false;
        this.socket.write(writeFrame(frameType.response, packResponse({ ...response, note: sentNote })));
    }

    /** A request whose body is still coming when it has its answer leaves the connection useless. */
    #finish(last: boolean): void {
        this.#serving = undefined;
        this.#body?.stream.resume();
        if (last) {
            this.socket.end();
        }
    }

    #handleClose(): void {
        this.#body?.fail("peer-broke");
        this.#body = undefined;
        this.#serving?.abort();
        this.#serving = undefined;
    }
}
