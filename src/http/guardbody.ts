/** Keeps a body's failure from ending the process. */
import type { Readable } from "node:stream";

/** Whoever reads the body hears of its failure; one that nobody reads any more may fail unheard. */
export function guardBody(body: Readable): Readable {
    return body.on("error", () => {});
}
