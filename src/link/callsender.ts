/** Writes the requests of one connection, and keeps the body of a request until the peer asks for it. */
import type { Socket } from "node:net";
import { Readable } from "node:stream";
import type { GateCall } from "../hop/gatecall.js";
import { emptyBuffer } from "./emptybuffer.js";
import { frameType } from "./frametype.js";
import { OnDemandBody } from "./ondemandbody.js";
import { packCall } from "./packcall.js";
import { sendBody } from "./sendbody.js";
import { writeFrame } from "./writeframe.js";

/** The connection carries one request at a time. */
export class CallSender {
    /** The body of the present request, until the peer asks for it. */
    #keptBody: Buffer | Readable | undefined;
    #isSending = false;

    constructor(private readonly socket: Socket) {}

    /** True while a streamed body is being sent. */
    get isSending(): boolean {
        return this.#isSending;
    }

    /** Writes a request with its body, or without it if the peer is to ask for it. */
    send(call: GateCall, isBodyOnDemand: boolean): void {
        const { body } = call;
        if (isBodyOnDemand && body !== undefined) {
            this.#keptBody = body;
            const size = Buffer.isBuffer(body) ? body.length : undefined;
            this.#writeCall(call, new OnDemandBody(size));
        }
        else if (body instanceof Readable) {
            this.#writeCall(call, "follows");
            this.#stream(body);
        }
        else {
            this.#writeCall(call, body);
        }
    }

    /** Sends the body that the peer asks for; returns false if none waits, which violates the protocol. */
    sendKeptBody(): boolean {
        const body = this.#keptBody;
        this.#keptBody = undefined;
        if (body instanceof Readable) {
            this.#stream(body);
        }
        else if (body !== undefined) {
            this.socket.write(writeFrame(frameType.data, body));
            this.socket.write(writeFrame(frameType.end, emptyBuffer));
        }
        return body !== undefined;
    }

    /** Drops a body that the peer has not asked for, since the request has ended. */
    dropKeptBody(): void {
        this.#keptBody = undefined;
    }

    #writeCall(call: GateCall, body: Parameters<typeof packCall>[1]): void {
        this.socket.write(writeFrame(frameType.call, packCall(call, body)));
    }

    #stream(body: Readable): void {
        this.#isSending = true;
        sendBody(body, this.socket, () => this.#isSending = false);
    }
}
