/** Reads a body into memory, up to a size limit. */
import { Readable } from "node:stream";
import { ByteCollector } from "./bytecollector.js";
import { ignoreBodyErrors } from "./ignorebodyerrors.js";

/** The whole body, or the first bytes of a body that exceeds the limit; its stream is paused after them. */
type Collected = { readonly isComplete: boolean; readonly bytes: Buffer; };

/** Reads the body to its end, or until it exceeds `maxBytes`; rejects if it breaks off before that. */
export function bufferBody(body: Buffer | Readable, maxBytes: number): Promise<Collected> {
    if (!(body instanceof Readable)) {
        return Promise.resolve({ isComplete: true, bytes: body });
    }
    if (body.destroyed) {
        return Promise.reject(body.errored ?? new Error("the body's stream closed before it was read"));
    }
    return new Promise((resolve, reject) => {
        const collector = new ByteCollector();
        const removeListeners = (): void => {
            body.removeListener("data", onData);
            body.removeListener("end", onEnd);
            body.removeListener("error", onError);
            body.removeListener("close", onClose);
        };
        const onData = (chunk: Buffer): void => {
            collector.add(chunk);
            if (collector.size > maxBytes) {
                removeListeners();
                body.pause();
                resolve({ isComplete: false, bytes: collector.bytes });
            }
        };
        const onEnd = (): void => {
            removeListeners();
            resolve({ isComplete: true, bytes: collector.bytes });
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
