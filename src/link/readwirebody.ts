/** Reads how a body goes with a frame. */
import type { WireBody } from "./wirebody.js";

/** Anything else than bytes that are at hand is no body. */
export function readWireBody(follows: unknown, body: unknown): WireBody {
    if (follows === true) {
        return "follows";
    }
    return Buffer.isBuffer(body) ? body : undefined;
}
