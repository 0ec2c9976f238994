/** Estimates the size of a request's head. */
import type { IncomingMessage } from "node:http";

/** The colon, the space and the line break of each header field. */
const FIELD_OVERHEAD_BYTES = 4;

/** Returns the approximate number of bytes received. */
export function headBytes(req: IncomingMessage): number {
    const { rawHeaders, url = "" } = req;
    const textBytes = rawHeaders.reduce((sum, part) => sum + part.length, url.length);
    return textBytes + FIELD_OVERHEAD_BYTES * rawHeaders.length / 2;
}
