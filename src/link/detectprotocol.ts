/** Detects by its first byte whether a connection uses HTTP or the daemons' framed protocol. */
import type { Socket } from "node:net";
import { frameType } from "./frametype.js";

/** A connection on which no byte arrives for this time is closed. */
const FIRST_BYTE_TIMEOUT_MS = 10_000;

/** Calls `onHttp` or `onPeerProtocol` when the first bytes arrive; for HTTP they are pushed back into the socket. */
export function detectProtocol(socket: Socket, onHttp: () => void, onPeerProtocol: (firstBytes: Buffer) => void): void {
    /** Ignores the error: the socket closes after it, and no request has begun on the connection. */
    const onError = (): void => {};
    socket.on("error", onError);
    socket.setTimeout(FIRST_BYTE_TIMEOUT_MS, () => socket.destroy());
    socket.once("data", (firstBytes: Buffer) => {
        socket.removeListener("error", onError);
        socket.setTimeout(0).removeAllListeners("timeout");
        if (firstBytes[0] === frameType.greeting) {
            onPeerProtocol(firstBytes);
            return;
        }
        socket.pause();
        onHttp();
        socket.unshift(firstBytes);
        socket.resume();
    });
}
