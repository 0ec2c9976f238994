/** Reads a body that is not needed to its end. */
import { Readable } from "node:stream";
import { guardBody } from "./guardbody.js";

/** A stream is read to its end, so that its connection can be used again; its failure concerns nobody. */
export function dropBody(body: Buffer | Readable | undefined): void {
    if (body instanceof Readable) {
        guardBody(body).resume();
    }
}
