/** A stand-in's answer, sound or faulty. */
import type { IncomingMessage, ServerResponse } from "node:http";
import type { UpstreamControl } from "./upstreamcontrol.js";

const PAD_BYTES = 200;
const SHORT_BY = 10;
const LATE_MS = 300;

/** Echoes the load's id in the body and the daemon's id in the head, but for what the fault changes. */
export function writeAnswer(req: IncomingMessage, res: ServerResponse, fault: UpstreamControl["answerFault"]): void {
    const id = String(req.headers["x-load-id"] ?? "");
    const body = JSON.stringify({ id, depth: req.headers["winglock-timeout-ms"], pad: "x".repeat(PAD_BYTES) });
    const echo = String(req.headers["winglock-request-id"] ?? "");
    const length = Buffer.byteLength(body);
    const write = (requestId = echo): void => {
        res.writeHead(200, { "content-length": length, "winglock-request-id": requestId });
        res.end(body);
    };
    const raw = (announced: number, sent: string): void => {
        const head = `HTTP/1.1 200 OK\r\ncontent-length: ${announced}\r\nwinglock-request-id: ${echo}\r\n\r\n`;
        res.socket?.write(head + sent);
    };
    const breakOff = (afterMs: number): void => {
        setTimeout(() => res.socket?.destroy(), afterMs);
    };
    switch (fault) {
        case "cut":
            raw(length, body.slice(0, length / 2));
            return breakOff(1);
        case "short":
            raw(length + SHORT_BY, body);
            return breakOff(5);
        case "long":
            return raw(length - SHORT_BY, body);
        case "doubled":
            raw(length, body);
            setTimeout(() => raw(length, body), 2);
            return;
        case "foreign":
            return write("another-request");
        case "late":
            setTimeout(() => write(), LATE_MS);
            return;
        case "none":
            return write();
    }
}
