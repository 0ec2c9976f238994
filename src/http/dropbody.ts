/** Drains a body that is not needed. */
import { Readable } from "node:stream";
import { guardBody } from "./guardbody.js";

/** Reads a stream to its end, so that its connection can be reused, and ignores its errors. */
export function dropBody(body: Buffer | Readable | undefined): void {
    if (body instanceof Readable) {
        guardBody(body).resume();
    }
}
