/** Forwards a body to a response. */
import type { ServerResponse } from "node:http";
import type { Readable } from "node:stream";

/** Pipes the body to the response. If one breaks off, so does the other: a partial body never looks complete. */
export function pipeBody(body: Readable, res: ServerResponse): void {
    if (body.destroyed && !body.readableEnded) {
        res.destroy();
        return;
    }
    body.on("error", () => res.destroy());
    body.on("close", () => {
        if (!body.readableEnded) {
            res.destroy();
        }
    });
    res.on("close", () => body.destroy());
    body.pipe(res);
}
