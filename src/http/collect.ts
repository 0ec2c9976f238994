/** Receives an answer's body whole, up to a bound. */
import { Readable } from "node:stream";
import { guardBody } from "./guardbody.js";

/** Either the whole body, or what has come of a body that passes the bound; the stream goes on after that. */
type Collected = { readonly whole: boolean; readonly chunks: Buffer[]; readonly size: number; };

/** Rejects when the body breaks off before its end or its bound. */
export function collect(body: Buffer | Readable, bound: number): Promise<Collected> {
    if (!(body instanceof Readable)) {
        return Promise.resolve({ whole: true, chunks: [body], size: body.length });
    }
    if (body.destroyed) {
        return Promise.reject(body.errored ?? new Error("the body closed before it was read"));
    }
    return new Promise((resolve, reject) => {
        const chunks: Buffer[] = [];
        let size = 0;
        const stop = (): void => {
            body.removeListener("data", onData);
            body.removeListener("end", onEnd);
            body.removeListener("error", onError);
            body.removeListener("close", onClose);
        };
        const onData = (chunk: Buffer): void => {
            chunks.push(chunk);
            size += chunk.length;
            if (size > bound) {
                stop();
                body.pause();
                resolve({ whole: false, chunks, size });
            }
        };
        const onEnd = (): void => {
            stop();
            resolve({ whole: true, chunks, size });
        };
        const onError = (err: Error): void => {
            stop();
            guardBody(body);
            reject(err);
        };
        const onClose = (): void => onError(new Error("the body closed before its end"));
        body.on("data", onData);
        body.on("end", onEnd);
        body.on("error", onError);
        body.on("close", onClose);
    });
}
