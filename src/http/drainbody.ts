/** Drains a body that is not needed. */
import { Readable } from "node:stream";
import { ignoreBodyErrors } from "./ignorebodyerrors.js";

/** Reads a stream to its end, so that its connection can be reused, and ignores its errors. */
export function drainBody(body: Buffer | Readable | undefined): void {
    if (body instanceof Readable) {
        ignoreBodyErrors(body).resume();
    }
}
