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
    let isResetting = false;
    socket.destroy = err => {
        const res = current();
        const isCut = res?.headersSent === true && !res.writableFinished;
        // A reset calls `destroy`, too. An error means that the connection has failed already.
        if (err === undefined && !isResetting && !socket.destroyed && isCut && mayEndWithConnection(res)) {
            isResetting = true;
            return socket.resetAndDestroy();
        }
        return destroy(err);
    };
}
