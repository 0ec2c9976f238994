/**
 * Reads a caller's body: a small one is kept whole, so that the request can be sent again; a larger one is streamed.
 */
import type { IncomingMessage } from "node:http";
import { PassThrough, type Readable } from "node:stream";
import { bufferBody } from "../http/bufferbody.js";
import { BodyError } from "./bodyerror.js";

/** `kept` is false for a body that is streamed; such a request can be sent only once. */
type RequestBody = { readonly content: Buffer | Readable | undefined; readonly kept: boolean; };

/** Limits in bytes: bodies up to `keepBytes` are kept, those above `maxBytes` are refused. */
type BodyLimits = { readonly keepBytes: number; readonly maxBytes: number; };

const NO_BODY: RequestBody = { content: undefined, kept: true };

const hasBody = (req: IncomingMessage): boolean =>
    req.headers["transfer-encoding"] !== undefined || Number(req.headers["content-length"] ?? 0) > 0;

const streamBody = (req: IncomingMessage, firstBytes: Buffer, maxBytes: number): RequestBody => {
    const stream = new PassThrough();
    let size = firstBytes.length;
    stream.write(firstBytes);
    req.on("data", (chunk: Buffer) => {
        size += chunk.length;
        if (size > maxBytes) {
            stream.destroy(new BodyError(true));
        }
    });
    const failIncomplete = (): void => void stream.destroy(new BodyError(false));
    stream.on("error", () => {
        // The `close` event follows.
    });
    // The rest is read and discarded, since a caller may read the response only after it has sent the whole body.
    stream.on("close", () => req.unpipe(stream).resume());
    req.on("aborted", failIncomplete);
    if (req.destroyed && !req.readableEnded) {
        failIncomplete();
    }
    req.pipe(stream);
    return { content: stream, kept: false };
};

/**
 * Reads a body up to `keepBytes` and streams a longer one. A body that is too large or incomplete raises a BodyError:
 * the promise rejects with it, or the stream ends with it once streaming has begun.
 */
export async function readBody(req: IncomingMessage, limits: BodyLimits): Promise<RequestBody> {
    if (!hasBody(req)) {
        return NO_BODY;
    }
    if (Number(req.headers["content-length"] ?? 0) > limits.maxBytes) {
        throw new BodyError(true);
    }
    const { isComplete, bytes } = await collectBody(req, Math.min(limits.keepBytes, limits.maxBytes));
    if (bytes.length > limits.maxBytes) {
        throw new BodyError(true);
    }
    return isComplete ? { content: bytes, kept: true } : streamBody(req, bytes, limits.maxBytes);
}

const collectBody = async (req: IncomingMessage, keepBytes: number): ReturnType<typeof bufferBody> => {
    try {
        return await bufferBody(req, keepBytes);
    }
    catch (err) {
        throw new BodyError(false, { cause: err });
    }
};
