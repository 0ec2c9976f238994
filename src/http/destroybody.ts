/** Discards a body that is not read to its end. */
import { Readable } from "node:stream";
import { ignoreBodyErrors } from "./ignorebodyerrors.js";

/** Destroys a body that is a stream, and with it its connection. */
export function destroyBody(body: Buffer | Readable): void {
    if (body instanceof Readable) {
        ignoreBodyErrors(body).destroy();
    }
}
