import assert from "node:assert/strict";
import { once } from "node:events";
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { Readable } from "node:stream";
import { test } from "node:test";
import { setTimeout as pause } from "node:timers/promises";
import { withConnection } from "../../test/withconnection.js";
import { deliver } from "./deliver.js";
import { ResponseTurn } from "./responseturn.js";

const BUFFER_BYTES = 5;
const PARTS = 200;
const PART_BYTES = 1000;
/** Long enough for everything that was written on loopback to be read. */
const SETTLE_MS = 50;

test("deliver: a response that exceeds the buffer but ends while it is read is sent whole", async () => {
    const server = createServer((_req, res) => {
        const body = Readable.from([Buffer.from("0123456789")], { objectMode: false });
        const response = { status: 200, headers: {}, body, metadata: undefined };
        const connection = { isLast: () => true, prepareResponse: () => {} };
        const turn = new ResponseTurn(res, connection as never);
        void deliver(res, response, { isBuffered: true, headOnly: false, bufferBytes: BUFFER_BYTES, turn });
    });
    server.listen(0, "127.0.0.1");
    await once(server, "listening");
    try {
        const { port } = server.address() as AddressInfo;
        const response = await fetch(`http://127.0.0.1:${port}`);
        assert.equal(await response.text(), "0123456789");
    }
    finally {
        server.close();
        server.closeAllConnections();
    }
});

/** Two requests on one connection, of which the first is not answered yet. */
const withTwoRequests = (body: Parameters<typeof withConnection>[1]): Promise<void> =>
    withConnection(2, async bench => {
        const request = "GET / HTTP/1.1\r\nhost: h\r\n\r\n";
        bench.socket.write(request + request);
        await pause(SETTLE_MS);
        await body(bench);
    });

const options = { isBuffered: true, headOnly: false, bufferBytes: BUFFER_BYTES };

// Guards against memory that grows with the size of responses behind a slow first one.
test("deliver: a long response behind another one is read only up to the buffer until its turn", async () => {
    await withTwoRequests(async ({ accepted, received }) => {
        let readCount = 0;
        const body = new Readable({
            highWaterMark: 1,
            read() {
                readCount += 1;
                this.push(readCount <= PARTS ? Buffer.alloc(PART_BYTES, "p") : null);
            },
        });
        const [first, second] = accepted;
        const sent = deliver(second!.res, { status: 200, headers: {}, body, metadata: undefined }, {
            ...options,
            turn: second!.turn,
        });
        await pause(SETTLE_MS);
        assert.ok(readCount < 10, `${readCount} parts were read`);
        first!.turn.whenFirst(() => first!.res.end());
        await sent;
        await pause(SETTLE_MS);
        assert.ok(received().length > PARTS * PART_BYTES);
    });
});

test("deliver: a response that ends with its connection fails if requests behind it were accepted", async () => {
    await withTwoRequests(async ({ accepted, received }) => {
        const metadata = { unframed: true } as never;
        const response = { status: 200, headers: {}, body: Buffer.from("x"), metadata };
        const [first, second] = accepted;
        await assert.rejects(deliver(first!.res, response, { ...options, turn: first!.turn }), /were accepted/);
        first!.turn.whenFirst(() => first!.res.end());
        await deliver(second!.res, response, { ...options, turn: second!.turn });
        await pause(SETTLE_MS);
        assert.match(received(), /connection: close/i);
    });
});
