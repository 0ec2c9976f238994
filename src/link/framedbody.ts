/** Provides a body that is received in frames as a stream. */
import type { Socket } from "node:net";
import { Readable } from "node:stream";
import type { Frame } from "./frame.js";
import { frameType } from "./frametype.js";
import { LinkError } from "./linkerror.js";

/**
 * Pauses the socket while the stream's reader is slower than the sender. Calls `onAbandoned` if the reader destroys the
 * stream before the body has ended.
 */
export class FramedBody {
    readonly stream: Readable;
    #ended = false;

    constructor(private readonly socket: Socket, onAbandoned: () => void) {
        this.stream = new Readable({
            read: () => socket.resume(),
            destroy: (err, callback) => {
                if (!this.#ended) {
                    onAbandoned();
                    // What still arrives of the body is discarded.
                    socket.resume();
                }
                callback(err);
            },
        });
        this.stream.on("error", () => {
            // The reader has its own listener; this one keeps an error without a reader from ending the process.
        });
    }

    /** Adds a frame of the body; returns true if it is the last one. */
    add({ type, payload }: Frame): boolean {
        if (type === frameType.data) {
            if (!this.stream.destroyed && !this.stream.push(payload)) {
                this.socket.pause();
            }
            return false;
        }
        if (type === frameType.end) {
            this.#ended = true;
            this.stream.push(null);
        }
        else {
            this.fail("broken-body");
        }
        this.socket.resume();
        return true;
    }

    /** Destroys the stream, so that its reader gets a LinkError. */
    fail(reason: LinkError["reason"]): void {
        this.#ended = true;
        this.stream.destroy(new LinkError(reason));
    }
}
