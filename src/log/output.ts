/**
 * Standard output, never waited for.
 *
 * Lines are handed on in batches, since each hand-over costs a wake-up of the process. Pipes and sockets are written
 * without blocking: a thread that waits for a slow reader could not be stopped, and would keep the process from ending.
 */
import { createWriteStream, fstatSync } from "node:fs";
import { Socket } from "node:net";
import type { Writable } from "node:stream";
import { finished } from "node:stream/promises";

/** Its file descriptor. */
const STANDARD_OUTPUT = 1;
/** Lines are at most so old when they are handed on, in milliseconds; ten wake-ups a second. */
const BATCH_MS = 100;
/** A reader that is slower than this many bytes behind loses lines. */
const MAX_WAITING_BYTES = 1024 * 1024;

const open = (): Writable => {
    const stat = fstatSync(STANDARD_OUTPUT);
    if (stat.isFIFO() || stat.isSocket()) {
        return new Socket({ fd: STANDARD_OUTPUT, readable: false, writable: true });
    }
    return createWriteStream("", { fd: STANDARD_OUTPUT, autoClose: false });
};

/** Opened at the first line; `onDrop` is called for each line that is lost to a slow reader. */
export class Output {
    #stream: Writable | undefined;
    #lines: string[] = [];
    #bytes = 0;
    #timer: NodeJS.Timeout | undefined;

    constructor(private readonly onDrop: () => void) {}

    /** Adds a line, which ends with its newline. */
    write(line: string): void {
        if (this.#bytes + this.#writable().writableLength > MAX_WAITING_BYTES) {
            this.onDrop();
            return;
        }
        this.#lines.push(line);
        this.#bytes += line.length;
        this.#timer ??= setTimeout(() => this.#handOn(), BATCH_MS).unref();
    }

    /** Resolves when all lines are written, the reader has gone, or `limitMs` milliseconds have passed. */
    async end(limitMs: number): Promise<void> {
        this.#handOn();
        const stream = this.#writable();
        stream.end();
        try {
            await finished(stream, { signal: AbortSignal.timeout(limitMs) });
        }
        catch {
            // The reader has gone or stands still: there is nowhere left to say so.
        }
    }

    #writable(): Writable {
        if (this.#stream === undefined) {
            this.#stream = open();
            this.#stream.on("error", () => {
                // The reader has gone: there is nowhere left to say so.
            });
        }
        return this.#stream;
    }

    #handOn(): void {
        clearTimeout(this.#timer);
        this.#timer = undefined;
        const text = this.#lines.join("");
        this.#lines = [];
        this.#bytes = 0;
        const stream = this.#writable();
        if (text !== "" && stream.writable) {
            stream.write(text);
        }
    }
}
