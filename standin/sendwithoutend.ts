/** Sends bytes without an end. */
import type { Socket } from "node:net";

/** Writes `beginning`, and then `part` again and again until the connection closes, as fast as the other side reads. */
export function sendWithoutEnd(socket: Socket, beginning: string, part: Buffer): void {
    const fill = (): void => {
        while (!socket.destroyed && socket.write(part)) {
            // Writes until the other side reads no more.
        }
    };
    socket.write(beginning);
    socket.on("drain", fill);
    fill();
}
