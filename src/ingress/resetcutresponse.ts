/** Makes a cut response recognizable where only the end of its connection tells the caller that it is complete. */
import type { ServerResponse } from "node:http";
import type { Socket } from "node:net";

/** HTTP/1.0 has no chunked framing, and a response that closes its connection may have neither that nor a length. */
const mayEndWithConnection = ({ chunkedEncoding, shouldKeepAlive, req }: ServerResponse): boolean =>
    !chunkedEncoding && (req.httpVersionMinor === 0 || !shouldKeepAlive);

/**
 * Makes `destroy`, which everything that cuts a response calls, reset the connection if the response that is being sent
 * can end with it: after an orderly end, the caller would take the part for the whole response. `current` returns the
 * first response that has not been sent.
 */
export function resetCutResponse(socket: Socket, current: () => ServerResponse | undefined): void {
    const destroy = socket.destroy.bind(socket);
    socket.destroy = err => {
        const res = current();
        const isCut = res?.headersSent === true && !res.writableFinished;
        // An error means that the connection has failed already.
        if (err === undefined && !socket.destroyed && isCut && mayEndWithConnection(res)) {
            // The reset calls `destroy`, too.
            socket.destroy = destroy;
            return socket.resetAndDestroy();
        }
        return destroy(err);
    };
}
