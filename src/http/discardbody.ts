/** Reads a response body that nobody needs, to find out whether it is complete. */
import type { Readable } from "node:stream";
import { bufferBody } from "./bufferbody.js";
import { destroyBody } from "./destroybody.js";

const MAX_DISCARDED_BYTES = 128 * 1024;

/**
 * Reads the body to its end; rejects if it breaks off before that. A longer body than such responses have is destroyed,
 * and its connection with it.
 */
export async function discardBody(body: Readable): Promise<void> {
    const { isComplete } = await bufferBody(body, MAX_DISCARDED_BYTES);
    if (!isComplete) {
        destroyBody(body);
    }
}
