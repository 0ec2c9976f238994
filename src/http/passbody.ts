/** Passes a body on. */
import type { ServerResponse } from "node:http";
import type { Readable } from "node:stream";

/** Copies the body to the response; when either breaks off, the other does, so that no part is taken for the whole. */
export function passBody(body: Readable, res: ServerResponse): void {
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
