/** Leaves a body that is not read to its end. */
import { Readable } from "node:stream";

/** A stream ends with its connection. */
export function abandonBody(body: Buffer | Readable): void {
    if (body instanceof Readable) {
        body.on("error", () => {}).destroy();
    }
}
