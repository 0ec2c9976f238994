import assert from "node:assert/strict";
import { once } from "node:events";
import { createServer } from "node:http";
import { type AddressInfo, connect, type Socket } from "node:net";
import { test } from "node:test";
import { closeServer } from "./closeserver.js";

const REQUEST = "GET / HTTP/1.1\r\nhost: h\r\n\r\n";

const textOf = async (socket: Socket): Promise<string> => {
    let text = "";
    socket.on("data", chunk => text += chunk);
    await once(socket, "close").catch(err => text += String(err));
    return text;
};

/** Starts a server that responds at once, and opens a connection on which one response was received. */
const connectAndServe = async () => {
    const server = createServer((_req, res) => res.end("ok")).listen(0, "127.0.0.1");
    await once(server, "listening");
    const { port } = server.address() as AddressInfo;
    const socket = connect(port, "127.0.0.1");
    socket.write(REQUEST);
    await once(socket, "data");
    return { server, port, socket };
};

test("close: an unread request on an idle connection is served", async () => {
    const { server, socket } = await connectAndServe();
    const text = textOf(socket);
    socket.write(REQUEST);
    await closeServer(server, () => server.closeIdleConnections());
    server.closeAllConnections();
    assert.match(await text, /200 OK/);
});

test("close: a pending connection is served", async () => {
    const { server, port, socket } = await connectAndServe();
    const pending = connect(port, "127.0.0.1");
    pending.write(REQUEST);
    const text = textOf(pending);
    await closeServer(server, () => server.closeIdleConnections());
    server.closeAllConnections();
    assert.match(await text, /200 OK/);
    socket.destroy();
});

test("close: many pending connections, as after a stall, are served", async () => {
    const { server, port, socket } = await connectAndServe();
    const pending = Array.from({ length: 20 }, () => connect(port, "127.0.0.1"));
    pending.forEach(each => each.write(REQUEST));
    const texts = pending.map(textOf);
    await closeServer(server, () => server.closeIdleConnections());
    server.closeAllConnections();
    const unserved = (await Promise.all(texts)).filter(text => !text.includes("200 OK"));
    assert.deepEqual(unserved, []);
    socket.destroy();
});

test("close: connections are refused afterwards", async () => {
    const { server, port } = await connectAndServe();
    await closeServer(server, () => server.closeIdleConnections());
    const socket = connect(port, "127.0.0.1");
    const [err] = await once(socket, "error") as [NodeJS.ErrnoException];
    assert.equal(err.code, "ECONNREFUSED");
});
