/** Determines whether a request has a body. */
import type { IncomingMessage } from "node:http";

/** Returns true if the head announces a body of at least one byte, or one of unknown length. */
export function hasBody({ headers }: IncomingMessage): boolean {
    return headers["transfer-encoding"] !== undefined || Number(headers["content-length"] ?? 0) > 0;
}
