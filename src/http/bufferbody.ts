/** Reads a body into memory, up to a size limit. */
import { Readable } from "node:stream";
import { ignoreBodyErrors } from "./ignorebodyerrors.js";

/** The whole body, or the first chunks of a body that exceeds the limit; its stream is paused after them. */
type Collected = { readonly isComplete: boolean; readonly chunks: Buffer[]; readonly size: number; };

/** Reads the body to its end, or until it exceeds `maxBytes`; rejects if it breaks off before that. */
export function bufferBody(body: Buffer | Readable, maxBytes: number): Promise<Collected> {
    if (!(body instanceof Readable)) {
        return Promise.resolve({ isComplete: true, chunks: [body], size: body.length });
    }
    if (body.destroyed) {
        return Promise.reject(body.errored ?? new Error("the body's stream closed before it was read"));
    }
    return new Promise((resolve, reject) => {
        const chunks: Buffer[] = [];
        let size = 0;
        const removeListeners = (): void => {
            body.removeListener("data", onData);
            body.removeListener("end", onEnd);
            body.removeListener("error", onError);
            body.removeListener("close", onClose);
        };
        const onData = (chunk: Buffer): void => {
            chunks.push(chunk);
            size += chunk.length;
            if (size > maxBytes) {
                removeListeners();
                body.pause();
                resolve({ isComplete: false, chunks, size });
            }
        };
        const onEnd = (): void => {
            removeListeners();
            resolve({ isComplete: true, chunks, size });
        };
        const onError = (err: Error): void => {
            removeListeners();
            ignoreBodyErrors(body);
            reject(err);
        };
        const onClose = (): void => onError(new Error("the body's stream closed before its end"));
        body.on("data", onData);
        body.on("end", onEnd);
        body.on("error", onError);
        body.on("close", onClose);
    });
}
