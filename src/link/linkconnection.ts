/** The calling end of one connection to a peer, which carries one request at a time. */
import type { Socket } from "node:net";
import { Readable } from "node:stream";
import type { GateCall } from "../hop/gatecall.js";
import type { Frame } from "./frame.js";
import { FrameReader } from "./framereader.js";
import { frameType } from "./frametype.js";
import { LinkError } from "./linkerror.js";
import { packCall } from "./packcall.js";
import { sendBody } from "./sendbody.js";
import { unpackAnswer } from "./unpackanswer.js";
import type { WireAnswer } from "./wireanswer.js";
import { writeFrame } from "./writeframe.js";

/** An answer whose body is whole, or comes as a stream that fails when it breaks off. */
type LinkAnswer = Omit<WireAnswer, "body"> & { readonly body: Buffer | Readable | undefined; };

type Waiting = { readonly resolve: (answer: LinkAnswer) => void; readonly reject: (err: LinkError) => void; };

/** `onFree` is called after each request when the connection may carry another. */
export class LinkConnection {
    readonly #reader = new FrameReader();
    #waiting: Waiting | undefined;
    #body: Readable | undefined;
    #last = false;
    #sending = false;
    #forget: () => void = () => {};

    constructor(private readonly socket: Socket, private readonly onFree: (connection: LinkConnection) => void) {
        socket.on("data", (chunk: Buffer) => this.#read(chunk));
        socket.on("error", () => {});
        socket.on("close", () => this.#broke());
    }

    get open(): boolean {
        return !this.socket.destroyed && this.socket.writable && this.socket.readable;
    }

    /** Sends a request; rejects with a LinkError. Calling it off ends the connection. */
    send(call: GateCall): Promise<LinkAnswer> {
        if (call.cancel.aborted) {
            this.onFree(this);
            return Promise.reject(new LinkError("called-off", true));
        }
        this.#forget = call.cancel.onAbort(() => this.destroy());
        return new Promise((resolve, reject) => {
            this.#waiting = { resolve, reject };
            this.#write(call);
        });
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
        this.#sending = true;
        this.socket.write(writeFrame(frameType.call, packCall(call, "follows")));
        sendBody(body, this.socket, () => this.#sending = false);
    }

    #read(chunk: Buffer): void {
        try {
            this.#reader.read(chunk).forEach(frame => this.#take(frame));
        }
        catch {
            this.destroy();
        }
    }

    #take({ type, payload }: Frame): void {
        switch (type) {
            case frameType.answer:
                return this.#takeAnswer(unpackAnswer(payload));
            case frameType.data:
                if (this.#body?.push(payload) === false) {
                    this.socket.pause();
                }
                return;
            case frameType.end:
                this.#body?.push(null);
                return this.#done();
            case frameType.broken: {
                const body = this.#body;
                this.#done();
                body?.destroy(new LinkError("broken-body", false));
                return;
            }
            default:
                this.destroy();
        }
    }

    #takeAnswer(answer: WireAnswer | undefined): void {
        const waiting = this.#waiting;
        if (answer === undefined || waiting === undefined) {
            this.destroy();
            return;
        }
        this.#waiting = undefined;
        this.#last = answer.last;
        if (answer.body === "follows") {
            this.#body = this.#makeBody();
            waiting.resolve({ ...answer, body: this.#body });
            return;
        }
        this.#done();
        waiting.resolve({ ...answer, body: answer.body });
    }

    /** A body that is left before its end takes the connection with it. */
    #makeBody(): Readable {
        const body: Readable = new Readable({
            read: () => this.socket.resume(),
            destroy: (err, callback) => {
                if (this.#body === body && !body.readableEnded) {
                    this.destroy();
                }
                callback(err);
            },
        });
        return body.on("error", () => {});
    }

    #done(): void {
        this.#forget();
        this.#forget = () => {};
        this.#body = undefined;
        this.socket.resume();
        if (this.#last || this.#sending) {
            this.destroy();
            return;
        }
        this.onFree(this);
    }

    #broke(): void {
        this.#forget();
        this.#waiting?.reject(new LinkError("peer-broke", false));
        this.#waiting = undefined;
        this.#body?.destroy(new LinkError("peer-broke", false));
        this.#body = undefined;
    }
}
