/** A caller's body: kept whole when it is small, so that the request can be tried again. */
import type { IncomingMessage } from "node:http";
import { PassThrough, type Readable } from "node:stream";
import { collect } from "../http/collect.js";
import { BodyError } from "./bodyerror.js";

/** `kept` is false for a body that is passed on as it comes, and then only one attempt can be made. */
type RequestBody = { readonly content: Buffer | Readable | undefined; readonly kept: boolean; };

/** Bounds in bytes. */
type Bounds = { readonly keepBytes: number; readonly maxBytes: number; };

const NO_BODY: RequestBody = { content: undefined, kept: true };

const hasBody = (req: IncomingMessage): boolean =>
    req.headers["transfer-encoding"] !== undefined || Number(req.headers["content-length"] ?? 0) > 0;

const passOn = (req: IncomingMessage, begun: Buffer[], maxBytes: number): RequestBody => {
    const out = new PassThrough();
    let size = 0;
    begun.forEach(chunk => {
        size += chunk.length;
        out.write(chunk);
    });
    req.on("data", (chunk: Buffer) => {
        size += chunk.length;
        if (size > maxBytes) {
            out.destroy(new BodyError(true));
        }
    });
    const breakOff = (): void => void out.destroy(new BodyError(false));
    out.on("error", () => req.resume());
    req.on("aborted", breakOff);
    if (req.destroyed && !req.readableEnded) {
        breakOff();
    }
    req.pipe(out);
    return { content: out, kept: false };
};

/** Reads the body up to `keepBytes`; rejects with a BodyError. */
export async function readBody(req: IncomingMessage, bounds: Bounds): Promise<RequestBody> {
    if (!hasBody(req)) {
        return NO_BODY;
    }
    if (Number(req.headers["content-length"] ?? 0) > bounds.maxBytes) {
        throw new BodyError(true);
    }
    const { whole, chunks } = await collectFrom(req, bounds.keepBytes);
    return whole ? { content: Buffer.concat(chunks), kept: true } : passOn(req, chunks, bounds.maxBytes);
}

const collectFrom = async (req: IncomingMessage, bound: number): ReturnType<typeof collect> => {
    try {
        return await collect(req, bound);
    }
    catch (err) {
        throw new BodyError(false, { cause: err });
    }
};
