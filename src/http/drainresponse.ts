/** Drains a response body that is not needed. */
import { Readable } from "node:stream";
import { ignoreBodyErrors } from "./ignorebodyerrors.js";

/** Reading more than this takes longer than opening a connection. */
const MAX_DRAINED_BYTES = 128 * 1024;
const MAX_DRAIN_MS = 1000;

/**
 * Reads the body to its end, so that its connection can be reused, and ignores its errors. A body that is too long or too
 * slow is destroyed, and its connection with it: a faulty upstream may never end it.
 */
export function drainResponse(body: Buffer | Readable): void {
    if (!(body instanceof Readable) || body.closed) {
        return;
    }
    let bytes = 0;
    const timer = setTimeout(() => body.destroy(), MAX_DRAIN_MS);
    ignoreBodyErrors(body).once("close", () => clearTimeout(timer));
    body.on("data", (chunk: Buffer) => {
        bytes += chunk.length;
        if (bytes > MAX_DRAINED_BYTES) {
            body.destroy();
        }
    });
}
