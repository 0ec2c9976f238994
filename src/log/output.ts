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
const STDOUT_FD = 1;
/** Lines are at most so old when they are handed on, in milliseconds; ten wake-ups a second. */
const BATCH_INTERVAL_MS = 100;
/** A reader that is slower than this many bytes behind loses lines. */
const MAX_BUFFERED_BYTES = 1024 * 1024;

const openStdout = (): Writable => {
    const stat = fstatSync(STDOUT_FD);
    if (stat.isFIFO() || stat.isSocket()) {
        return new Socket({ fd: STDOUT_FD, readable: false, writable: true });
    }
    return createWriteStream("", { fd: STDOUT_FD, autoClose: false });
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
        if (this.#bytes + this.#openStream().writableLength > MAX_BUFFERED_BYTES) {
            this.onDrop();
            return;
        }
        this.#lines.push(line);
        this.#bytes += line.length;
        this.#timer ??= setTimeout(() => this.#flush(), BATCH_INTERVAL_MS).unref();
    }

    /** Resolves when all lines are written, the reader has gone, or `limitMs` milliseconds have passed. */
    async end(timeoutMs: number): Promise<void> {
        this.#flush();
        const stream = this.#openStream();
        stream.end();
        try {
            await finished(stream, { signal: AbortSignal.timeout(timeoutMs) });
        }
        catch {
            // The reader has gone or stands still: there is nowhere left to say so.
        }
    }

    #openStream(): Writable {
        if (this.#stream === undefined) {
            this.#stream = openStdout();
            this.#stream.on("error", () => {
                // The reader has gone: there is nowhere left to say so.
            });
        }
        return this.#stream;
    }

    #flush(): void {
        clearTimeout(this.#timer);
        this.#timer = undefined;
        const text = this.#lines.join("");
        this.#lines = [];
        this.#bytes = 0;
        const stream = this.#openStream();
        if (text !== "" && stream.writable) {
            stream.write(text);
        }
    }
}
