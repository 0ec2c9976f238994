/** Leaves a body that is not read to its end. */
import { Readable } from "node:stream";
import { guardBody } from "./guardbody.js";

/** A stream ends with its connection. */
export function abandonBody(body: Buffer | Readable): void {
    if (body instanceof Readable) {
        guardBody(body).destroy();
    }
}
