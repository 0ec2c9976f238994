/** Sends a JSON response. */
import type { ServerResponse } from "node:http";

/** Sends the status with the value as its body, or without a body if the value is undefined. */
export function sendJson(res: ServerResponse, status: number, value?: unknown): void {
    res.writeHead(status, { "content-type": "application/json" });
    res.end(value === undefined ? undefined : JSON.stringify(value));
}
