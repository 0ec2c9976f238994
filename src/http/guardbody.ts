/** Keeps a body's failure from ending the process. */
import type { Readable } from "node:stream";

/** Whoever reads the body has its own listener; the failure of a body that nobody reads any more concerns nobody. */
export function guardBody(body: Readable): Readable {
    return body.on("error", () => {
        // Says nothing that its reader does not know.
    });
}
