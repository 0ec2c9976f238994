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

const STANDARD_OUTPUT = 1;
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

/** Opened at the first line; `onDrop` is told of each line that is lost to a slow reader. */
export class Output {
    #stream: Writable | undefined;
    #lines: string[] = [];
    #bytes = 0;
    #timer: NodeJS.Timeout | undefined;

    constructor(private readonly onDrop: () => void) {}

    /** Takes in a line, which ends with its newline. */
    write(line: string): void {
        if (this.#bytes + this.#writable().writableLength > MAX_WAITING_BYTES) {
            this.onDrop();
            return;
        }
        this.#lines.push(line);
        this.#bytes += line.length;
        this.#timer ??= setTimeout(() => this.#handOn(), BATCH_MS).unref();
    }

    /** Resolves when all lines are written, the reader has gone, or the time is up. */
    async end(limitMs: number): Promise<void> {
        this.#handOn();
        const stream = this.#writable();
        stream.end();
        await finished(stream, { signal: AbortSignal.timeout(limitMs) }).catch(() => {});
    }

    #writable(): Writable {
        if (this.#stream === undefined) {
            this.#stream = open();
            this.#stream.on("error", () => {});
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
