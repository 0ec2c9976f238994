/** Reads a short body into memory and leaves a long one as a stream. */
import { PassThrough, type Readable } from "node:stream";
import { bufferBody } from "../http/bufferbody.js";

/** Most responses are far shorter; longer ones are streamed. */
const MAX_BUFFERED_BYTES = 256 * 1024;

const BROKEN_MESSAGE = "response body broke off before it was complete";

const streamWithBuffered = (body: Readable, buffered: Buffer): Readable => {
    const out = new PassThrough();
    out.write(buffered);
    out.on("error", () => {
        // The stream's reader has its own listener; this one keeps an error without a reader from ending the process.
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

/** Resolves with the whole body if it is short, with a stream of it if it is long, or with `broken` if it broke off. */
export async function bufferShortBody(body: Readable): Promise<Buffer | Readable | "broken"> {
    try {
        const { isComplete, bytes } = await bufferBody(body, MAX_BUFFERED_BYTES);
        return isComplete ? bytes : streamWithBuffered(body, bytes);
    }
    catch {
        // The peer receives a `broken` frame, and logs the failure with the request's id.
        return "broken";
    }
}
