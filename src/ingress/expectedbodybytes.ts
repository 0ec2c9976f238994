/** Determines the memory that a caller's body takes, before it is read. */
import type { IncomingMessage } from "node:http";

/** Returns the most bytes of the body that are held at once; 0 if there is no body. A longer body is streamed. */
export function expectedBodyBytes({ headers }: IncomingMessage, keepBytes: number): number {
    if (headers["transfer-encoding"] !== undefined) {
        return keepBytes;
    }
    return Math.min(keepBytes, Number(headers["content-length"] ?? 0));
}
