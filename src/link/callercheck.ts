/** Asks the peer whether the caller of the request that is being served is still there. */
import type { Socket } from "node:net";
import { emptyBuffer } from "./emptybuffer.js";
import { frameType } from "./frametype.js";
import { writeFrame } from "./writeframe.js";

/** The checks on one connection, which carries one request at a time. */
export class CallerCheck {
    #resolve: () => void = () => {};

    constructor(private readonly socket: Socket) {}

    /** Resolves when the peer has answered, the connection has closed, or `timeoutMs` milliseconds have passed. */
    ask(timeoutMs: number): Promise<void> {
        if (this.socket.destroyed) {
            return Promise.resolve();
        }
        this.socket.write(writeFrame(frameType.callerCheck, emptyBuffer));
        return new Promise(resolve => {
            const timer = setTimeout(resolve, Math.max(0, timeoutMs));
            this.#resolve = () => {
                clearTimeout(timer);
                resolve();
            };
        });
    }

    /** Ends the check, since the peer has answered or the connection has closed. */
    end(): void {
        this.#resolve();
        this.#resolve = () => {};
    }
}
