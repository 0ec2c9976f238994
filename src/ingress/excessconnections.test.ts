import assert from "node:assert/strict";
import { once } from "node:events";
import { createServer } from "node:http";
import { type AddressInfo, connect, type Socket } from "node:net";
import { test } from "node:test";
import { setTimeout as pause } from "node:timers/promises";
import { connectionDefaults } from "../../test/connectiondefaults.js";
import { CallerConnections } from "./callerconnections.js";

const MAX_CONNECTIONS = 4;
/** Long enough for everything that was written on loopback to be read. */
const SETTLE_MS = 50;

const open = async (port: number, text = ""): Promise<Socket> => {
    const socket = connect(port, "127.0.0.1").on("error", () => {}).resume();
    socket.write(text);
    await once(socket, "connect");
    await pause(SETTLE_MS);
    return socket;
};

// Guards against ordinary callers that are not accepted while connections that send nothing hold all descriptors.
test("connections: a new one beyond the bound closes the oldest silent one, and no busy one", async () => {
    const server = createServer();
    const reasons: string[] = [];
    new CallerConnections(server, {
        ...connectionDefaults(1),
        maxOpenConnections: MAX_CONNECTIONS,
        serve: ({ req, res }) => req.url === "/wait" ? undefined : res.end(),
        onLimit: reason => reasons.push(reason),
    });
    server.listen(0, "127.0.0.1");
    await once(server, "listening");
    const { port } = server.address() as AddressInfo;
    const request = (path: string): string => `GET ${path} HTTP/1.1\r\nhost: h\r\n\r\n`;
    const sockets: Socket[] = [];
    const isClosed = (): boolean[] => sockets.map(({ destroyed }) => destroyed);
    try {
        for (const text of [request("/wait"), request("/"), "", "GET /pa", request("/")]) {
            sockets.push(await open(port, text));
        }
        assert.deepEqual(isClosed(), [false, false, true, false, false]);
        sockets.push(await open(port, request("/")));
        assert.deepEqual(isClosed(), [false, false, true, true, false, false]);
        sockets.push(await open(port, request("/")));
        assert.deepEqual(isClosed(), [false, true, true, true, false, false, false]);
        assert.deepEqual(reasons, ["connection-limit", "connection-limit", "connection-limit"]);
    }
    finally {
        sockets.forEach(socket => socket.destroy());
        server.close();
        server.closeAllConnections();
    }
});
