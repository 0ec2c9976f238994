/**
 * Provides a caller's body that is too long to be kept as a stream.
 *
 * Owns the bytes that have arrived and were not read. Chunks that wait in a stream's queue are objects of their own, and
 * those of one socket read can be thousands; here they are collected, and the socket is paused instead of the request.
 */
import type { IncomingMessage } from "node:http";
import { Readable } from "node:stream";
import { ByteCollector } from "../http/bytecollector.js";
import { ignoreBodyErrors } from "../http/ignorebodyerrors.js";
import { BodyError } from "./bodyerror.js";
import { ReadPause } from "./readpause.js";

/** The socket is paused while more bytes than this wait. */
const MAX_PENDING_BYTES = 64 * 1024;

/** The stream fails with a BodyError if the body exceeds `maxBytes` or its caller leaves. */
export class StreamedBody {
    readonly stream: Readable;
    readonly #reading: ReadPause;
    #pending = new ByteCollector();
    #size: number;
    #isWanted = false;
    #isEnded = false;
    #isFlushScheduled = false;

    /** `firstBytes` are the bytes that have arrived; `req` must be flowing and have no other reader. */
    constructor(private readonly req: IncomingMessage, firstBytes: Buffer, private readonly maxBytes: number) {
        this.#reading = new ReadPause(req.socket);
        this.#size = firstBytes.length;
        this.#pending.add(firstBytes);
        this.stream = ignoreBodyErrors(
            new Readable({
                highWaterMark: 1,
                read: () => this.#read(),
                destroy: (err, callback) => {
                    this.#discard();
                    callback(err);
                },
            }),
        );
        req.on("data", this.#add);
        req.on("end", this.#end);
        req.on("close", this.#abort);
    }

    #read(): void {
        this.#isWanted = true;
        this.#flush();
    }

    /** Passes on all that waits, in one chunk. */
    #flush(): void {
        this.#isFlushScheduled = false;
        if (!this.#isWanted || this.stream.destroyed) {
            return;
        }
        if (this.#pending.size > 0) {
            const { bytes } = this.#pending;
            this.#pending = new ByteCollector();
            this.#isWanted = false;
            this.#reading.resume();
            this.stream.push(bytes);
        }
        else if (this.#isEnded) {
            this.stream.push(null);
        }
    }

    readonly #add = (chunk: Buffer): void => {
        this.#size += chunk.length;
        if (this.#size > this.maxBytes) {
            this.stream.destroy(new BodyError(true));
            return;
        }
        this.#pending.add(chunk);
        if (this.#pending.size > MAX_PENDING_BYTES && !this.#reading.isPaused) {
            this.#reading.pause(false);
        }
        this.#scheduleFlush();
    };

    /** Waits until all chunks of a socket read have been added. */
    #scheduleFlush(): void {
        if (!this.#isFlushScheduled) {
            this.#isFlushScheduled = true;
            process.nextTick(() => this.#flush());
        }
    }

    readonly #end = (): void => {
        this.#isEnded = true;
        this.#scheduleFlush();
    };

    readonly #abort = (): void => {
        this.#reading.end();
        if (!this.#isEnded) {
            this.stream.destroy(new BodyError(false));
        }
    };

    /** The rest is read and discarded, since a caller may read the response only after it has sent the whole body. */
    #discard(): void {
        this.#pending = new ByteCollector();
        this.req.off("data", this.#add);
        this.#reading.resume();
        this.req.resume();
    }
}
