/**
 * Determines how a peer has ended a connection.
 *
 * Where data and a reset arrive together, Node.js reports the data and then an end, and leaves the error pending in the
 * socket: what the peer sent last can be incomplete.
 */
import type { Socket } from "node:net";
import type { Dispatcher } from "undici";
import { ConnectionResetError } from "./connectionreseterror.js";

/** The error of a write to a connection that the peer first ended and then reset. */
const RESET_AFTER_END = "EPIPE";
/** The error of a connection that the peer reset. */
const RESET = "ECONNRESET";

const codeOf = (err: Error | null | undefined): string | undefined => (err as NodeJS.ErrnoException | undefined)?.code;

/** Watches one connection from when it is established. */
export class ConnectionEnd {
    #hasEnded = false;
    #error: ConnectionResetError | undefined;
    #request: Dispatcher.DispatchController | undefined;

    constructor(private readonly socket: Socket) {
        // Runs before the listener of Node.js, after which the socket refuses writes, and before that of undici, which
        // takes the end of the connection for that of the response.
        socket.prependOnceListener("end", () => {
            this.#hasEnded = true;
            this.#request?.resume();
            this.#error = this.#isReset() ? new ConnectionResetError() : undefined;
        });
        this.#replaceResetErrors();
    }

    /** True once the peer has ended or reset the connection, and all that it sent before was read. */
    get hasEnded(): boolean {
        return this.#hasEnded;
    }

    /** The error of a response that ended with the connection; undefined if the peer has not reset it. */
    get error(): ConnectionResetError | undefined {
        return this.#error;
    }

    /**
     * Records which request is being written to the connection. It is resumed at the end: undici throws in an event
     * handler if a connection ends while a slow reader has paused its response.
     */
    beginRequest(request: Dispatcher.DispatchController): void {
        this.#request = request;
    }

    /** Releases the request, which an idle connection would keep otherwise. */
    endRequest(): void {
        this.#request = undefined;
    }

    /** A write reports the pending error at once, but only if no other write waits. */
    #isReset(): boolean {
        const { socket } = this;
        if (socket.destroyed) {
            // The resumed response turned out to be complete, and undici closed the connection.
            return false;
        }
        if (socket.writableLength > 0) {
            // The address is read here only: Node.js keeps it once it is known.
            return socket.remoteAddress === undefined;
        }
        socket.write("");
        const code = codeOf(socket.errored);
        return code !== undefined && code !== RESET_AFTER_END;
    }

    /** Undici takes an error with the code of a reset for the end of a response without a length. */
    #replaceResetErrors(): void {
        const destroy = this.socket.destroy.bind(this.socket);
        this.socket.destroy = err => destroy(codeOf(err) === RESET ? new ConnectionResetError({ cause: err }) : err);
    }
}
