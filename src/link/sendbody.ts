/** Sends a streamed body in frames. */
import type { Socket } from "node:net";
import type { Readable } from "node:stream";
import { emptyBuffer } from "./emptybuffer.js";
import { frameType } from "./frametype.js";
import { writeFrame } from "./writeframe.js";

/**
 * Sends the body as fast as the socket accepts it. Calls `onEnd` once, after the last frame has been written or the
 * socket has closed.
 */
export function sendBody(body: Readable, socket: Socket, onEnd: () => void): void {
    let ended = false;
    const resume = (): void => void body.resume();
    const abandon = (): void => void body.destroy();
    const end = (type: typeof frameType.end | typeof frameType.broken): void => {
        if (ended) {
            return;
        }
        ended = true;
        socket.removeListener("drain", resume).removeListener("close", abandon);
        if (!socket.destroyed) {
            socket.write(writeFrame(type, emptyBuffer));
        }
        onEnd();
    };
    if (body.destroyed) {
        end(frameType.broken);
        return;
    }
    socket.on("drain", resume);
    body.on("data", (chunk: Buffer) => {
        if (!socket.destroyed && !socket.write(writeFrame(frameType.data, chunk))) {
            body.pause();
        }
    });
    body.on("end", () => end(frameType.end));
    body.on("error", () => end(frameType.broken));
    body.on("close", () => end(frameType.broken));
    socket.once("close", abandon);
}
