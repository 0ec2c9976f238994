/** Decodes how a frame carries a body. */
import type { WireBody } from "./wirebody.js";

/** Returns the body, or `follows` if it is streamed; a `body` that is not a buffer counts as none. */
export function readWireBody(follows: unknown, body: unknown): WireBody {
    if (follows === true) {
        return "follows";
    }
    return Buffer.isBuffer(body) ? body : undefined;
}
