/** The size of a request's head. */
import type { IncomingMessage } from "node:http";

/** Per field: the colon, a space and the line's end. */
const FIELD_BYTES = 4;

/** About as many bytes as came. */
export function headBytes(req: IncomingMessage): number {
    const { rawHeaders, url = "" } = req;
    const text = rawHeaders.reduce((sum, part) => sum + part.length, url.length);
    return text + FIELD_BYTES * rawHeaders.length / 2;
}
