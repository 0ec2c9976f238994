/** Prevents an unhandled error of a body from ending the process. */
import type { Readable } from "node:stream";

/** Adds a listener that ignores errors, and returns the body. A reader of the body has its own listener. */
export function ignoreBodyErrors(body: Readable): Readable {
    return body.on("error", () => {
        // A reader's own listener handles the error; without a reader it has no consequence.
    });
}
