import assert from "node:assert/strict";
import { once } from "node:events";
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { Readable } from "node:stream";
import { test } from "node:test";
import { deliver } from "./deliver.js";
import { ResponseTurn } from "./responseturn.js";

const BUFFER_BYTES = 5;

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
