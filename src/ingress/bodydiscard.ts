/**
 * Discards the rest of a body whose request has been answered.
 *
 * A caller may read the response only after it has sent the whole body, and data that is unread when the connection is
 * closed makes the system reset it, which can discard the response. So the rest is read, up to a limit.
 */
import type { IncomingMessage, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import type { DiscardLimits } from "./discardlimits.js";

/** Interval of the checks, during which a caller on the same host sends some 100 MB. */
const CHECK_INTERVAL_MS = 50;

/** Owns the discarding on one connection; `onLimit` is called before a connection is closed that exceeds a limit. */
export class BodyDiscard {
    #timer: NodeJS.Timeout | undefined;

    constructor(
        private readonly socket: Socket,
        private readonly limits: () => DiscardLimits,
        private readonly onLimit: () => void,
    ) {}

    /** True while the rest of a body is discarded. */
    get isActive(): boolean {
        return this.#timer !== undefined;
    }

    /**
     * Makes `destroySoon`, which Node calls too, close the connection only after the rest of a body was discarded.
     * `current` returns the response that was sent last.
     */
    lingerOnClose(current: () => ServerResponse | undefined): void {
        const { socket } = this;
        socket.destroySoon = () => {
            const res = current();
            if (res?.writableEnded === true) {
                this.startIfIncomplete(res);
            }
            if (this.isActive) {
                socket.end();
                return;
            }
            Object.getPrototypeOf(socket).destroySoon.call(socket);
        };
    }

    /** Reads the rest of the body of an answered request; closes the connection if that exceeds a limit. */
    startIfIncomplete({ req }: ServerResponse): void {
        if (!req.complete && !this.isActive) {
            this.#start(req);
        }
    }

    stop(): void {
        clearInterval(this.#timer);
        this.#timer = undefined;
    }

    #start(req: IncomingMessage): void {
        const { maxBytes, timeoutMs } = this.limits();
        const maxBytesRead = this.socket.bytesRead + maxBytes;
        let remainingChecks = Math.ceil(timeoutMs / CHECK_INTERVAL_MS);
        this.#timer = setInterval(() => {
            remainingChecks -= 1;
            if (req.complete) {
                this.stop();
            }
            else if (remainingChecks <= 0 || this.socket.bytesRead > maxBytesRead) {
                this.stop();
                this.onLimit();
                this.socket.destroy();
            }
        }, CHECK_INTERVAL_MS);
        req.resume();
    }
}
