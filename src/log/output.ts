/**
 * Writes lines to standard output without blocking.
 *
 * Lines are written in batches, since each write costs a wake-up of the process. Pipes and sockets are written with
 * non-blocking I/O: a thread that is blocked by a slow reader can't be stopped, and would keep the process from ending.
 */
import { createWriteStream, fstatSync } from "node:fs";
import { Socket } from "node:net";
import type { Writable } from "node:stream";
import { finished } from "node:stream/promises";

const STDOUT_FD = 1;
/** A line is buffered for at most this long, which causes at most ten wake-ups per second. */
const BATCH_INTERVAL_MS = 100;
/** If a reader is so slow that more than this is buffered, new lines are dropped. */
const MAX_BUFFERED_BYTES = 1024 * 1024;

const openStdout = (): Writable => {
    const stat = fstatSync(STDOUT_FD);
    if (stat.isFIFO() || stat.isSocket()) {
        return new Socket({ fd: STDOUT_FD, readable: false, writable: true });
    }
    return createWriteStream("", { fd: STDOUT_FD, autoClose: false });
};

/** Opens standard output at the first line. `onDrop` is called for each line that is dropped due to a slow reader. */
export class Output {
    #stream: Writable | undefined;
    #lines: string[] = [];
    #bytes = 0;
    #timer: NodeJS.Timeout | undefined;

    constructor(private readonly onDrop: () => void) {}

    /** Buffers a line, which includes its newline, or drops it if the buffer is full. */
    write(line: string): void {
        if (this.#bytes + this.#openStream().writableLength > MAX_BUFFERED_BYTES) {
            this.onDrop();
            return;
        }
        this.#lines.push(line);
        this.#bytes += line.length;
        this.#timer ??= setTimeout(() => this.#flush(), BATCH_INTERVAL_MS).unref();
    }

    /** Resolves when all lines are written, the reader has closed its end, or `timeoutMs` milliseconds have passed. */
    async end(timeoutMs: number): Promise<void> {
        this.#flush();
        const stream = this.#openStream();
        stream.end();
        try {
            await finished(stream, { signal: AbortSignal.timeout(timeoutMs) });
        }
        catch {
            // The reader has closed its end or stopped reading, so this error can't be logged.
        }
    }

    #openStream(): Writable {
        if (this.#stream === undefined) {
            this.#stream = openStdout();
            this.#stream.on("error", () => {
                // The reader has closed its end, so this error can't be logged.
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
