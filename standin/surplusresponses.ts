/** Sends responses a second time, in the place of the next response on the same connection. */
import { type OutgoingHttpHeaders, STATUS_CODES } from "node:http";
import type { Socket } from "node:net";

/** A response with a body of known length. */
type SentResponse = {
    readonly status: number;
    readonly headers: OutgoingHttpHeaders;
    readonly body: string;
};

/** Keeps at most one response for each connection. */
export class SurplusResponses {
    readonly #kept = new WeakMap<Socket, string>();

    /** Keeps a copy of a response that was sent on the connection. */
    keep(socket: Socket, { status, headers, body }: SentResponse): void {
        const fields = Object.entries({ ...headers, "content-length": Buffer.byteLength(body) });
        const head = fields.map(([name, value]) => `${name}: ${String(value)}\r\n`).join("");
        this.#kept.set(socket, `HTTP/1.1 ${status} ${STATUS_CODES[status]}\r\n${head}\r\n${body}`);
    }

    /** Sends the copy that is kept for the connection, if there is one; to be called when a request arrives on it. */
    send(socket: Socket): void {
        const text = this.#kept.get(socket);
        if (text !== undefined) {
            this.#kept.delete(socket);
            socket.write(text);
        }
    }
}
