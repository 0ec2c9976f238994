import assert from "node:assert/strict";
import { createServer } from "node:net";
import { test } from "node:test";
import type { Address } from "../ids/address.js";
import { PeerClient } from "./peerclient.js";

/** Returns an address on loopback at which nothing listens. */
const unusedAddress = async (): Promise<Address> => {
    const server = createServer();
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    const { port } = server.address() as { readonly port: number; };
    await new Promise(resolve => server.close(resolve));
    return `127.0.0.1:${port}` as Address;
};

// Guards against a daemon that ends when a peer refuses the connection: the connection was counted although there was
// none, and the error was thrown in an event handler.
test("peer client: a refused connection fails the call and nothing else", async () => {
    const sockets: unknown[] = [];
    const client = new PeerClient(
        { key: "test-key-of-16-c", onSocket: (socket: unknown) => sockets.push(socket) } as never,
    );
    await assert.rejects(client.hello(await unusedAddress()));
    assert.deepEqual(sockets, []);
    await client.close();
});
