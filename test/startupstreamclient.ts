/** A raw upstream, and a client of it, for tests. */
import { once } from "node:events";
import { type AddressInfo, createServer, type Socket } from "node:net";
import type { TestContext } from "node:test";
import type { UpstreamClient } from "../src/gate/upstreamclient.js";
import type { HttpHeaders } from "../src/http/httpheaders.js";
import { createUpstreamClient } from "./createupstreamclient.js";

const LOCAL_IP = "127.0.0.1";

/** The client, and the connections that the upstream has accepted, in order. */
type StartedClient = { readonly client: UpstreamClient; readonly sockets: readonly Socket[]; };

/**
 * Starts an upstream that hands each connection to `onConnection`, with the number of connections so far; `onResponse` is
 * called with the headers of each response that the client takes for the upstream's own. Both end with the test.
 */
export async function startUpstreamClient(
    t: TestContext,
    onConnection: (socket: Socket, connection: number) => void,
    onResponse?: (headers: HttpHeaders) => void,
): Promise<StartedClient> {
    const sockets: Socket[] = [];
    const server = createServer(socket => {
        sockets.push(socket);
        socket.on("error", () => {
            // The client destroys connections.
        });
        onConnection(socket, sockets.length);
    }).listen(0, LOCAL_IP);
    await once(server, "listening");
    const { port } = server.address() as AddressInfo;
    const client = createUpstreamClient(`${LOCAL_IP}:${port}`, onResponse);
    t.after(async () => {
        sockets.forEach(socket => socket.destroy());
        server.close();
        await client.close();
    });
    return { client, sockets };
}
