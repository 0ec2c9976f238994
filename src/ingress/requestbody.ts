/** A caller's body: kept whole when it is small, so that the request can be tried again. */
import type { IncomingMessage } from "node:http";
import { PassThrough, type Readable } from "node:stream";
import { BodyError } from "./bodyerror.js";

/** `kept` is false for a body that is passed on as it comes, and then only one try can be made. */
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
    req.on("aborted", () => out.destroy(new BodyError(false)));
    out.on("error", () => req.resume());
    req.pipe(out);
    return { content: out, kept: false };
};

/** Reads the body up to `keepBytes`; rejects with a BodyError. */
export function readBody(req: IncomingMessage, bounds: Bounds): Promise<RequestBody> {
    if (!hasBody(req)) {
        return Promise.resolve(NO_BODY);
    }
    if (Number(req.headers["content-length"] ?? 0) > bounds.maxBytes) {
        return Promise.reject(new BodyError(true));
    }
    return new Promise((resolve, reject) => {
        const chunks: Buffer[] = [];
        let size = 0;
        const stop = (): void => {
            req.removeListener("data", onData);
            req.removeListener("end", onEnd);
            req.removeListener("close", onClose);
        };
        const onData = (chunk: Buffer): void => {
            chunks.push(chunk);
            size += chunk.length;
            if (size > bounds.keepBytes) {
                stop();
                resolve(passOn(req, chunks, bounds.maxBytes));
            }
        };
        const onEnd = (): void => {
            stop();
            resolve({ content: Buffer.concat(chunks), kept: true });
        };
        const onClose = (): void => {
            stop();
            reject(new BodyError(false));
        };
        req.on("data", onData);
        req.on("end", onEnd);
        req.on("close", onClose);
    });
}
