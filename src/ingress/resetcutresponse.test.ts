/** Responses that break off while they are sent to a caller. */
import assert from "node:assert/strict";
import type { Socket } from "node:net";
import { PassThrough } from "node:stream";
import { test } from "node:test";
import { pause } from "../../test/pause.js";
import { withConnection } from "../../test/withconnection.js";
import { deliver } from "./deliver.js";

const PART = "part";
const LONG_BODY = Buffer.alloc(64 * 1024 * 1024);
/** Long enough for everything that was written on loopback to be read. */
const SETTLE_MS = 50;

type Bench = Parameters<Parameters<typeof withConnection>[1]>[0];

const isReset = (err: NodeJS.ErrnoException | null | undefined): boolean => err?.code === "ECONNRESET";

/** Where data and a reset are read at once, Node.js reports an end; a write then fails with the pending error. */
const endingOf = (socket: Socket): Promise<"end" | "reset"> =>
    new Promise(resolve => {
        const settle = (err?: NodeJS.ErrnoException | null): void => resolve(isReset(err) ? "reset" : "end");
        socket.on("end", () => socket.write("", settle)).on("error", settle);
    });

/** Begins a streamed response to a request of the version; returns its body, of which a part has been sent. */
const beginStream = async ({ socket, accepted, received }: Bench, version: string): Promise<PassThrough> => {
    socket.write(`GET /a HTTP/${version}\r\nhost: h\r\n\r\n`);
    await pause(SETTLE_MS);
    const body = new PassThrough();
    const { res, turn } = accepted[0]!;
    const response = { status: 200, headers: {}, body, metadata: undefined };
    void deliver(res, response, { isBuffered: false, headOnly: false, bufferBytes: 0, turn });
    body.write(PART);
    await pause(SETTLE_MS);
    assert.ok(received().includes(PART));
    return body;
};

const cuts: Readonly<Record<string, (body: PassThrough, bench: Bench) => void>> = {
    "an upstream's response that breaks off": body => void body.destroy(new Error("broken")),
    "a limit": (_body, { accepted }) => accepted[0]!.connection.closeForLimit("request-memory"),
    "the caller's half-close": (_body, { socket }) => void socket.end(),
};

for (const [name, cut] of Object.entries(cuts)) {
    // Guards against a part that an HTTP/1.0 caller takes for the whole response, because its connection ends in order.
    test(`cut response: ${name} resets the connection of an HTTP/1.0 caller`, async () => {
        await withConnection(1, async bench => {
            const ending = endingOf(bench.socket);
            cut(await beginStream(bench, "1.0"), bench);
            assert.equal(await ending, "reset");
        });
    });

    test(`cut response: ${name} leaves the last chunk out for an HTTP/1.1 caller`, async () => {
        await withConnection(1, async bench => {
            const ending = endingOf(bench.socket);
            cut(await beginStream(bench, "1.1"), bench);
            assert.equal(await ending, "end");
            assert.ok(!bench.received().endsWith("0\r\n\r\n"));
        });
    });
}

test("cut response: a complete response to an HTTP/1.0 caller ends in order", async () => {
    await withConnection(1, async bench => {
        const ending = endingOf(bench.socket);
        (await beginStream(bench, "1.0")).end();
        assert.equal(await ending, "end");
        assert.ok(bench.received().endsWith(PART));
    });
});

// Guards against a part of a response without a length that an HTTP/1.1 caller takes for the whole one.
test("cut response: a response that ends with its connection is reset if it is cut", async () => {
    await withConnection(1, async ({ socket, accepted }) => {
        const ending = endingOf(socket);
        socket.write("GET /a HTTP/1.1\r\nhost: h\r\n\r\n");
        socket.pause();
        await pause(SETTLE_MS);
        const { res, turn, connection } = accepted[0]!;
        const response = { status: 200, headers: {}, body: LONG_BODY, metadata: { unframed: true } as never };
        void deliver(res, response, { isBuffered: true, headOnly: false, bufferBytes: LONG_BODY.length, turn });
        await pause(SETTLE_MS);
        connection.closeForLimit("request-memory");
        socket.resume();
        assert.equal(await ending, "reset");
    });
});
