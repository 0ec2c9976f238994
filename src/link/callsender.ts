/** Writes the requests of one connection, and keeps the body of a request until the peer asks for it. */
import type { Socket } from "node:net";
import { Readable } from "node:stream";
import type { GateCall } from "../hop/gatecall.js";
import { emptyBuffer } from "./emptybuffer.js";
import type { Frame } from "./frame.js";
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
    #settleCancel: GateCall["settleCancel"];

    constructor(private readonly socket: Socket) {}

    /** True while a streamed body is being sent. */
    get isSending(): boolean {
        return this.#isSending;
    }

    /** Writes a request with its body, or without it if the peer is to ask for it. */
    send(call: GateCall, isBodyOnDemand: boolean): void {
        const { body } = call;
        this.#settleCancel = call.settleCancel;
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

    /** Answers what the peer asks during a request; returns false if it violates the protocol. */
    answer({ type }: Frame, now: number): boolean {
        if (type === frameType.callerCheck) {
            void this.#confirmCaller(now);
            return true;
        }
        return type === frameType.bodyRequest && this.#sendKeptBody();
    }

    /** A request whose caller has left closes the connection, and one that has ended has no caller. */
    async #confirmCaller(now: number): Promise<void> {
        const settleCancel = this.#settleCancel;
        await settleCancel?.(now);
        const isServed = this.#settleCancel === settleCancel;
        if (isServed && this.socket.writable) {
            this.socket.write(writeFrame(frameType.callerPresent, emptyBuffer));
        }
    }

    /** Sends the body that the peer asks for; returns false if none waits. */
    #sendKeptBody(): boolean {
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

    /** Ends the request; drops a body that the peer has not asked for. */
    end(): void {
        this.#keptBody = undefined;
        this.#settleCancel = undefined;
    }

    #writeCall(call: GateCall, body: Parameters<typeof packCall>[1]): void {
        this.socket.write(writeFrame(frameType.call, packCall(call, body)));
    }

    #stream(body: Readable): void {
        this.#isSending = true;
        sendBody(body, this.socket, () => this.#isSending = false);
    }
}
