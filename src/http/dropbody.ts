/** Lets a body go that nobody wants. */
import { Readable } from "node:stream";

/** A stream is read to its end, so that its connection can be used again; its failure is nobody's business. */
export function dropBody(body: Buffer | Readable | undefined): void {
    if (body instanceof Readable) {
        body.on("error", () => {}).resume();
    }
}
