/** Streams the response of the upstream stand-in to `/events`. */
import type { IncomingMessage, ServerResponse } from "node:http";

const STREAM_EVERY_MS = 50;
const STREAM_EVENTS = 10;

/** Sends numbered events with the load generator's id, until the last one or until the caller leaves. */
export function streamEvents(req: IncomingMessage, res: ServerResponse): void {
    const id = String(req.headers["x-load-id"] ?? "");
    let sent = 0;
    res.writeHead(200, { "content-type": "text/event-stream" });
    const timer = setInterval(() => {
        sent += 1;
        res.write(`data: ${id} ${sent}\n\n`);
        if (sent === STREAM_EVENTS) {
            clearInterval(timer);
            res.end();
        }
    }, STREAM_EVERY_MS);
    res.on("close", () => clearInterval(timer));
}
