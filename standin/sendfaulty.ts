/** Sends a response with a fault. */
import type { ServerResponse } from "node:http";
import type { Socket } from "node:net";
import type { InstanceControl } from "./instancecontrol.js";
import { sendWithoutEnd } from "./sendwithoutend.js";

type Fault = Exclude<InstanceControl["fault"], "none">;

/** The time after a part of a response at which its connection is reset. */
const RESET_AFTER_MS = 20;
const ENDLESS_PART = Buffer.alloc(64 * 1024, "x");

/** Sends `body`, or a part of it, to the request with the id; `res` is written to `socket`. */
export function sendFaulty(socket: Socket, res: ServerResponse, fault: Fault, id: string, body: string): void {
    const unfinishedHead = `HTTP/1.1 200 OK\r\nattempt-id: ${id}\r\nserver-signature: s`;
    const unframedPart = `${unfinishedHead}\r\n\r\n{"id":`;
    switch (fault) {
        case "lost":
            socket.resetAndDestroy();
            return;
        case "short":
            res.writeHead(200, { "content-length": body.length + 5 });
            res.write(body, () => socket.destroy());
            return;
        case "unframed-reset":
            socket.write(unframedPart, () => void setTimeout(() => socket.resetAndDestroy(), RESET_AFTER_MS));
            return;
        case "unframed-end":
            socket.end(unframedPart);
            return;
        case "endless-head":
            return sendWithoutEnd(socket, unfinishedHead, ENDLESS_PART);
        case "endless-body":
            return sendWithoutEnd(socket, `${unfinishedHead}\r\n\r\n`, ENDLESS_PART);
        case "foreign":
            res.writeHead(200, { "content-type": "application/json" }).end(body);
    }
}
