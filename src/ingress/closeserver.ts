/** Closes an HTTP server without dropping connections and requests that have arrived but were not read yet. */
import type { Server } from "node:http";
import { Server as NetServer } from "node:net";
import { afterPoll } from "../time/afterpoll.js";
import { sleep } from "../time/sleep.js";

/** Bounds the accepting of connections that keep arriving; far more than are pending after a stall. */
const MAX_ACCEPT_ITERATIONS = 500;
/** Long enough for a caller whose connection was just accepted to send its request. */
const FIRST_REQUEST_WAIT_MS = 50;

/**
 * Resolves when no connection is pending. Only one is accepted in each event-loop iteration. After a stall of 340 ms,
 * eight were pending, and closing the listener reset all but two of them.
 */
const acceptPending = async (server: Server): Promise<void> => {
    let accepted = 0;
    const count = (): void => void (accepted += 1);
    server.on("connection", count);
    for (
        let iteration = 0, acceptedBefore = -1;
        acceptedBefore !== accepted && iteration < MAX_ACCEPT_ITERATIONS;
        iteration++
    ) {
        acceptedBefore = accepted;
        await afterPoll();
    }
    server.off("connection", count);
};

/**
 * Stops accepting connections and closes idle ones; resolves when no new request can arrive. Requests that arrived
 * before are still served, and the caller of this function must wait for them.
 *
 * After a stall, timers run before the sockets are read. A server that is closed at that moment resets every pending
 * connection, and treats a connection with an unread request as idle. `closeIdle` closes the idle connections. Node's own
 * method would also close those whose last response is complete but not yet written.
 */
export async function closeServer(server: Server, closeIdle: () => void): Promise<void> {
    await acceptPending(server);
    // The `close` of http.Server would also close idle connections at once.
    NetServer.prototype.close.call(server);
    await sleep(FIRST_REQUEST_WAIT_MS);
    await afterPoll();
    closeIdle();
}
