/** Sends a response in chunks of a given size. */
import type { OutgoingHttpHeaders, ServerResponse } from "node:http";

/** Writes a response with status 200 whose body consists of chunks of `chunkBytes` bytes; the last may be shorter. */
export function sendChunked(
    res: ServerResponse,
    headers: OutgoingHttpHeaders,
    body: string,
    chunkBytes: number,
): void {
    res.writeHead(200, { "content-type": "application/json", ...headers });
    res.cork();
    for (let offset = 0; offset < body.length; offset += chunkBytes) {
        res.write(body.slice(offset, offset + chunkBytes));
    }
    res.uncork();
    res.end();
}
