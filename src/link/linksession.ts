/** Implements the serving end of a connection from a peer, which carries one request at a time. */
import { pack } from "msgpackr";
import { timingSafeEqual } from "node:crypto";
import type { Socket } from "node:net";
import { Readable } from "node:stream";
import { bufferBody } from "../http/bufferbody.js";
import { Cancellation } from "../http/cancellation.js";
import { log } from "../log/log.js";
import { responseMetadataCodec } from "../wire/responsemetadatacodec.js";
import { bufferShortBody } from "./buffershortbody.js";
import { CallerCheck } from "./callercheck.js";
import { emptyBuffer } from "./emptybuffer.js";
import type { Frame } from "./frame.js";
import { FramedBody } from "./framedbody.js";
import { FrameReader } from "./framereader.js";
import { frameType } from "./frametype.js";
import { isBodyFrame } from "./isbodyframe.js";
import { LinkError } from "./linkerror.js";
import { OnDemandBody } from "./ondemandbody.js";
import { packResponse } from "./packresponse.js";
import { sendBody } from "./sendbody.js";
import type { ServedCall } from "./servedcall.js";
import type { ServedResponse } from "./servedresponse.js";
import type { SessionDependencies } from "./sessiondependencies.js";
import { unpackCall } from "./unpackcall.js";
import type { WireCall } from "./wirecall.js";
import type { WireResponse } from "./wireresponse.js";
import { writeFrame } from "./writeframe.js";

const logger = log("peer");

/** Serves the requests on the connection, and closes it if the peer violates the protocol. */
export class LinkSession {
    readonly #reader = new FrameReader();
    #isAuthenticated = false;
    #isFirst = true;
    #serving: Cancellation | undefined;
    #body: FramedBody | undefined;
    readonly #callerCheck: CallerCheck;

    constructor(private readonly socket: Socket, private readonly deps: SessionDependencies) {
        this.#callerCheck = new CallerCheck(socket);
        socket.setNoDelay(true);
        socket.on("data", (chunk: Buffer) => this.read(chunk));
        socket.on("error", () => {
            // The `close` event follows and cancels the request that is being served.
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

    /** True while a part of what was written to the peer is buffered in the process. */
    get hasUnsent(): boolean {
        return !this.socket.destroyed && this.socket.writableLength > 0;
    }

    /** Handles bytes received from the socket. */
    read(chunk: Buffer): void {
        try {
            this.#reader.read(chunk).forEach(frame => this.#receive(frame));
        }
        catch (err) {
            logger.warn("Could not decode a frame from a peer; its connection is closed.", err);
            this.destroy();
        }
    }

    /** Closes the connection if it is idle. */
    closeIfIdle(): void {
        if (!this.busy) {
            this.socket.end();
        }
    }

    /** Closes a connection without traffic if it is idle, or if the peer does not read what was written to it. */
    closeIfStalled(): void {
        if (this.hasUnsent) {
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
            const metadata = { ...this.deps.identity(), bodiesOnDemand: true };
            this.socket.write(writeFrame(frameType.probeResponse, pack(responseMetadataCodec.write(metadata))));
            return;
        }
        if (frame.type === frameType.call) {
            this.#receiveCall(frame.payload);
            return;
        }
        if (frame.type === frameType.callerPresent) {
            this.#callerCheck.end();
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
        const { key } = this.deps;
        const hasKey = payload.length === key.length && timingSafeEqual(payload, key);
        this.#isAuthenticated = type === frameType.greeting && hasKey;
        if (!this.#isAuthenticated) {
            this.destroy();
        }
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

    /** Returns the request, or undefined if it can't be decoded; the listener logs and refuses such a request. */
    #readCall(payload: Buffer): WireCall | undefined {
        try {
            return unpackCall(payload);
        }
        catch (err) {
            void this.#respond(this.deps.refuseInvalid(err), true);
            return undefined;
        }
    }

    #serve(call: WireCall): void {
        const cancel = this.#serving = new Cancellation();
        void this.deps.serve(this.#toServedCall(call), cancel).then(response =>
            this.#respond(response, call.head.answer === "whole")
        );
    }

    /** Behind a body that nobody reads yet, the answer to a check would not arrive. */
    #toServedCall({ body, ...call }: WireCall): ServedCall {
        if (body === "follows") {
            return { ...call, body: this.#openBody() };
        }
        const ask = (timeoutMs: number): Promise<void> => this.#callerCheck.ask(timeoutMs);
        const checkCaller = call.head.answersCallerChecks ? ask : undefined;
        if (body instanceof OnDemandBody) {
            const fetchBody = (): Promise<Buffer | Readable> => this.#fetchBody(body);
            return { ...call, body: undefined, bodySize: body.size, fetchBody, checkCaller };
        }
        return { ...call, body, checkCaller };
    }

    /** Asks for the body. Resolves with all of it, or at once with a stream if the peer does not have it whole. */
    async #fetchBody({ size }: OnDemandBody): Promise<Buffer | Readable> {
        if (this.socket.destroyed) {
            throw new LinkError("peer-broke");
        }
        const stream = this.#openBody();
        this.socket.write(writeFrame(frameType.bodyRequest, emptyBuffer));
        if (size === undefined) {
            return stream;
        }
        const { isComplete, bytes } = await bufferBody(stream, size);
        if (!isComplete || bytes.length !== size) {
            throw new LinkError("broken-body");
        }
        return bytes;
    }

    #openBody(): Readable {
        this.#body = new FramedBody(this.socket, () => {
            // The rest of the body is read and discarded, and the connection stays in use.
        });
        return this.#body.stream;
    }

    async #respond({ body, ...response }: ServedResponse, shouldBuffer: boolean): Promise<void> {
        const buffered = shouldBuffer && body instanceof Readable ? await bufferShortBody(body) : body;
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

    #write({ metadata, ...response }: WireResponse): void {
        const sentMetadata = this.#isFirst ? { ...metadata, probes: true, bodiesOnDemand: true } : metadata;
        this.#isFirst = false;
        this.socket.write(writeFrame(frameType.response, packResponse({ ...response, metadata: sentMetadata })));
    }

    /**
     * Ends the request. If its body is incomplete, the rest is read and discarded; the peer does not reuse a connection
     * on which it was still sending a body when the response arrived.
     */
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
        this.#callerCheck.end();
    }
}
