/** Tells the two protocols of a listener apart by the first byte. */
import type { Socket } from "node:net";
import { frameType } from "./frametype.js";

/** A connection without its first byte for so long is ended; milliseconds. */
const FIRST_BYTE_TIMEOUT_MS = 10_000;

/** Calls one of the two when the first bytes have come; HTTP finds them unread. */
export function detectProtocol(socket: Socket, onHttp: () => void, onPeerProtocol: (firstBytes: Buffer) => void): void {
    /** `close` follows; nothing has begun on this connection yet. */
    const onError = (): void => {};
    socket.on("error", onError);
    socket.setTimeout(FIRST_BYTE_TIMEOUT_MS, () => socket.destroy());
    socket.once("data", (first: Buffer) => {
        socket.removeListener("error", onError);
        socket.setTimeout(0).removeAllListeners("timeout");
        if (first[0] === frameType.greeting) {
            onPeerProtocol(first);
            return;
        }
        socket.pause();
        onHttp();
        socket.unshift(first);
        socket.resume();
    });
}
