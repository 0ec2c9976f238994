/**
 * Runs a server that answers each request with given bytes and then closes the connection: `rawresponder OPTIONS`, with
 * RawResponderOptions as JSON. Sends its parent its port, and then `received` for each request.
 *
 * A process of its own: the client's event loop can stand still while the response and the end of its connection arrive.
 */
import { type AddressInfo, createServer, type Socket } from "node:net";
import { pause } from "./pause.js";
import type { RawResponderOptions } from "./rawresponderoptions.js";

const { head, body, ending, readsUpload = true } = JSON.parse(process.argv[2]!) as RawResponderOptions;
/** The parent's event loop stands still by then. */
const RESPOND_AFTER_MS = 10;

const respond = async (socket: Socket, request: string): Promise<void> => {
    process.send!("received");
    if (!readsUpload) {
        socket.pause();
    }
    await pause(RESPOND_AFTER_MS);
    const id = /^winglock-request-id: (\S+)/m.exec(request)?.[1] ?? "";
    socket.write(`${head.replace("{id}", id)}${body}`, () => {
        if (ending === "reset") {
            socket.resetAndDestroy();
        }
        else {
            socket.end();
        }
    });
};

const server = createServer({ allowHalfOpen: true }, socket => {
    socket.on("error", () => {
        // The client closes its connection, or it was reset.
    });
    socket.on("end", () => socket.end());
    socket.once("data", data => {
        socket.resume();
        void respond(socket, data.toString());
    });
});
server.listen(0, "127.0.0.1", () => process.send!((server.address() as AddressInfo).port));
process.on("disconnect", () => process.exit());
