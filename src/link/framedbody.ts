/** A body that comes in frames. */
import type { Socket } from "node:net";
import { Readable } from "node:stream";
import type { Frame } from "./frame.js";
import { frameType } from "./frametype.js";
import { LinkError } from "./linkerror.js";

/** The socket waits while nobody reads; `onLeft` is called when the reader leaves before the end. */
export class FramedBody {
    readonly stream: Readable;
    #ended = false;

    constructor(private readonly socket: Socket, onAbandoned: () => void) {
        this.stream = new Readable({
            read: () => socket.resume(),
            destroy: (err, callback) => {
                if (!this.#ended) {
                    onAbandoned();
                }
                callback(err);
            },
        });
        this.stream.on("error", () => {
            // Whoever reads the body has a listener of its own.
        });
    }

    /** Adds a frame; true when the body has ended with it. */
    add({ type, payload }: Frame): boolean {
        if (type === frameType.data) {
            if (!this.stream.push(payload)) {
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

    /** Fails the reader. */
    fail(reason: LinkError["reason"]): void {
        this.#ended = true;
        this.stream.destroy(new LinkError(reason));
    }
}
