/** Reads a body into memory, if it is short. */
import { PassThrough, type Readable } from "node:stream";
import { bufferBody } from "../http/bufferbody.js";

/** Most answers are far below it; longer ones go on as they come. */
const MAX_BUFFERED_BYTES = 256 * 1024;

const BROKEN_MESSAGE = "the body broke off";

const streamWithBuffered = (body: Readable, buffered: readonly Buffer[]): Readable => {
    const out = new PassThrough();
    buffered.forEach(chunk => out.write(chunk));
    out.on("error", () => {
        // Whoever sends it on has a listener of its own.
    });
    out.on("close", () => body.destroy());
    if (body.destroyed && !body.readableEnded) {
        return out.destroy(new Error(BROKEN_MESSAGE));
    }
    body.on("close", () => {
        if (!body.readableEnded) {
            out.destroy(new Error(BROKEN_MESSAGE));
        }
    });
    return body.pipe(out);
};

/** Resolves with the whole body, with a stream of all of it when it is long, or with `broken` when it broke off. */
export async function bufferShortBody(body: Readable): Promise<Buffer | Readable | "broken"> {
    try {
        const { whole, chunks } = await bufferBody(body, MAX_BUFFERED_BYTES);
        if (!whole) {
            return streamWithBuffered(body, chunks);
        }
        return chunks.length === 1 ? chunks[0]! : Buffer.concat(chunks);
    }
    catch {
        // The peer is told so, and logs it with the request's id.
        return "broken";
    }
}
