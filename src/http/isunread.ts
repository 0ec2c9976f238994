/** Determines whether a body can still be sent from its beginning. */
import { Readable } from "node:stream";

/** Returns true for a stream that nothing has read from and that has not failed. */
export function isUnread(body: Buffer | Readable | undefined): boolean {
    return body instanceof Readable && !body.readableDidRead && !body.destroyed;
}
