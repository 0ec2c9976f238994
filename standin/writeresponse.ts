/** Writes the response of the upstream stand-in, correct or with an injected fault. */
import type { IncomingMessage, ServerResponse } from "node:http";
import type { UpstreamControl } from "./upstreamcontrol.js";

const PAD_BYTES = 200;
const LENGTH_ERROR_BYTES = 10;
const LATE_DELAY_MS = 300;

/**
 * Writes a response with the load generator's id in the body and the daemon's request id in the head, except for what
 * the fault changes.
 */
export function writeResponse(req: IncomingMessage, res: ServerResponse, fault: UpstreamControl["answerFault"]): void {
    const id = String(req.headers["x-load-id"] ?? "");
    const body = JSON.stringify({ id, depth: req.headers["winglock-timeout-ms"], pad: "x".repeat(PAD_BYTES) });
    const daemonRequestId = String(req.headers["winglock-request-id"] ?? "");
    const length = Buffer.byteLength(body);
    const write = (requestId = daemonRequestId): void => {
        res.writeHead(200, { "content-length": length, "winglock-request-id": requestId });
        res.end(body);
    };
    const writeRaw = (contentLength: number, bytes: string): void => {
        const head =
            `HTTP/1.1 200 OK\r\ncontent-length: ${contentLength}\r\nwinglock-request-id: ${daemonRequestId}\r\n\r\n`;
        res.socket?.write(head + bytes);
    };
    const destroySocket = (afterMs: number): void => {
        setTimeout(() => res.socket?.destroy(), afterMs);
    };
    switch (fault) {
        case "cut":
            writeRaw(length, body.slice(0, length / 2));
            return destroySocket(1);
        case "short":
            writeRaw(length + LENGTH_ERROR_BYTES, body);
            return destroySocket(5);
        case "long":
            return writeRaw(length - LENGTH_ERROR_BYTES, body);
        case "doubled":
            writeRaw(length, body);
            setTimeout(() => writeRaw(length, body), 2);
            return;
        case "foreign":
            return write("another-request");
        case "late":
            setTimeout(() => write(), LATE_DELAY_MS);
            return;
        case "none":
            return write();
    }
}
