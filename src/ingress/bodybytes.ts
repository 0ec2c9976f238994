/** Determines the length of a request's body. */
import type { OutgoingRequest } from "./outgoingrequest.js";

/** Returns the length in bytes; of a streamed body the announced one, or 0 if none is announced. */
export function bodyBytes({ body: { content }, headers }: OutgoingRequest): number {
    return Buffer.isBuffer(content) ? content.length : Number(headers["content-length"] ?? 0);
}
