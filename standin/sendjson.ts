/** Answers with JSON. */
import type { ServerResponse } from "node:http";

/** Writes the status and the value; nothing is written for `undefined`. */
export function sendJson(res: ServerResponse, status: number, value?: unknown): void {
    res.writeHead(status, { "content-type": "application/json" });
    res.end(value === undefined ? undefined : JSON.stringify(value));
}
