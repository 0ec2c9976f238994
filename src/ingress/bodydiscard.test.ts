import assert from "node:assert/strict";
import { test } from "node:test";
import { setTimeout as pause } from "node:timers/promises";
import { withConnection } from "../../test/withconnection.js";

/** Long enough for everything that was written on loopback to be read. */
const SETTLE_MS = 50;
/** Longer than the discarding may take (test/withconnection.ts), with the interval of its checks. */
const DISCARD_END_MS = 600;

const POST = "POST /a HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n\r\n";
const GET = "GET /b HTTP/1.1\r\nhost: h\r\n\r\n";
const LAST_CHUNK = "0\r\n\r\n";
const chunk = (bytes: number): string => `${bytes.toString(16)}\r\n${"x".repeat(bytes)}\r\n`;

const statusesOf = (text: string): string[] => [...text.matchAll(/HTTP\/1\.1 (\d+)/g)].map(([, status]) => status!);

test("discard: the rest of a body is discarded, and the connection serves the next request", async () => {
    await withConnection(1, async ({ accepted, socket, received }) => {
        socket.write(POST + chunk(10));
        await pause(SETTLE_MS);
        accepted[0]!.res.end("done");
        socket.write(chunk(50_000) + LAST_CHUNK + GET);
        await pause(SETTLE_MS * 3);
        accepted[1]!.res.end("done");
        await pause(DISCARD_END_MS);
        assert.deepEqual(statusesOf(received()), ["200", "200"]);
        assert.equal(socket.destroyed, false);
    });
});

// Guards against bodies that are read without an end once their requests have been answered.
test("discard: the connection is closed if the rest of a body is longer than the limit", async () => {
    await withConnection(1, async ({ accepted, socket, received }) => {
        socket.write(POST);
        await pause(SETTLE_MS);
        accepted[0]!.res.end("done");
        socket.write(chunk(150_000));
        await pause(SETTLE_MS * 4);
        assert.deepEqual(statusesOf(received()), ["200"]);
        assert.ok(socket.destroyed || socket.readableEnded);
    });
});

test("discard: the connection is closed if the rest of a body does not arrive in time", async () => {
    await withConnection(1, async ({ accepted, socket }) => {
        socket.write(POST + chunk(10));
        await pause(SETTLE_MS);
        accepted[0]!.res.end("done");
        await pause(DISCARD_END_MS);
        assert.ok(socket.destroyed || socket.readableEnded);
    });
});

// Guards against a reset that discards the response: the connection was closed while the caller was still sending.
test("discard: a caller that sends its whole body before it reads gets the response that closes the connection", async () => {
    await withConnection(1, async ({ accepted, socket, received, isEnded }) => {
        const errors: unknown[] = [];
        socket.on("error", err => errors.push(err));
        socket.pause();
        socket.write(POST + chunk(10));
        await pause(SETTLE_MS);
        accepted[0]!.connection.closeAfter(accepted[0]!.res);
        accepted[0]!.turn.whenFirst(() => accepted[0]!.res.end("done"));
        for (let part = 0; part < 5; part++) {
            socket.write(chunk(10_000));
            await pause(SETTLE_MS / 5);
        }
        socket.write(LAST_CHUNK);
        socket.resume();
        await pause(SETTLE_MS);
        assert.deepEqual(statusesOf(received()), ["200"]);
        assert.deepEqual(errors, []);
        socket.end();
        await pause(SETTLE_MS);
        assert.ok(isEnded());
        assert.ok(socket.destroyed);
    });
});
