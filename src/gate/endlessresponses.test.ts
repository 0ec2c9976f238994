/** An upstream sends bytes without end in place of its response to a health probe, until the client closes. */
import { once } from "node:events";
import { type AddressInfo, createServer, type Socket } from "node:net";
import { test } from "node:test";
import { eventually } from "../../test/eventually.js";
import type { Upstream } from "../config/upstream.js";
import { OwnDialect } from "../dialect/owndialect.js";
import { UpstreamClient } from "./upstreamclient.js";

const LOCAL_IP = "127.0.0.1";
const PROBE_TIMEOUT_MS = 300;
const CLOSE_BOUND_MS = 2000;
const CHUNK = Buffer.alloc(64 * 1024, "x");

/** The beginning of what is sent; `x` follows without end. */
const BEGINNINGS: Readonly<Record<string, string>> = {
    "bytes that are no response": "",
    "a status line": "HTTP/1.1 200 ",
    "a field": "HTTP/1.1 200 OK\r\nwinglock-upstream: ",
    "a body without a length": "HTTP/1.1 200 OK\r\nwinglock-upstream: fees-1\r\n\r\n",
    "a body with a length": "HTTP/1.1 200 OK\r\nwinglock-upstream: fees-1\r\ncontent-length: 9007199254740991\r\n\r\n",
    "a chunk": "HTTP/1.1 200 OK\r\nwinglock-upstream: fees-1\r\ntransfer-encoding: chunked\r\n\r\nffffffff\r\n",
    "a chunk extension": "HTTP/1.1 200 OK\r\nwinglock-upstream: fees-1\r\ntransfer-encoding: chunked\r\n\r\n5;",
};

const sendWithoutEnd = (socket: Socket, beginning: string): void => {
    socket.write(beginning);
    const fill = (): void => {
        while (!socket.destroyed && socket.write(CHUNK)) {
            // Writes until the client reads no more.
        }
    };
    socket.on("drain", fill);
    fill();
};

for (const [name, beginning] of Object.entries(BEGINNINGS)) {
    // Guards against a daemon that reads what a faulty upstream sends without end, in a head or a body.
    test(`endless responses: a health probe that gets ${name} without end closes its connection`, async t => {
        const sockets: Socket[] = [];
        const server = createServer(socket => {
            sockets.push(socket);
            socket.on("error", () => {}).once("data", () => sendWithoutEnd(socket, beginning));
        }).listen(0, LOCAL_IP);
        await once(server, "listening");
        const { port } = server.address() as AddressInfo;
        const upstream = { name: "fees-1", service: "fees", address: `${LOCAL_IP}:${port}` } as unknown as Upstream;
        const client = new UpstreamClient(upstream, {
            localIp: LOCAL_IP,
            dialect: new OwnDialect(),
            onResponse: () => {},
            clock: () => performance.now(),
            onUnresponsive: () => {},
        });
        t.after(() => {
            sockets.forEach(socket => socket.destroy());
            server.close();
        });
        await client.probeHealth("/health", PROBE_TIMEOUT_MS).catch(() => {
            // Whether the probe fails or is answered, nothing is read on.
        });
        // Another connection may be open by now, which has carried nothing.
        await eventually("the connection is closed", async () => sockets[0]!.destroyed, CLOSE_BOUND_MS);
    });
}
