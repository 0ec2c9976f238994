/** Discards a body that is not read to its end. */
import { Readable } from "node:stream";
import { guardBody } from "./guardbody.js";

/** Destroys a body that is a stream, and with it its connection. */
export function abandonBody(body: Buffer | Readable): void {
    if (body instanceof Readable) {
        guardBody(body).destroy();
    }
}
