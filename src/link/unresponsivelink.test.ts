import assert from "node:assert/strict";
import { once } from "node:events";
import { type AddressInfo, createServer, type Socket } from "node:net";
import { PassThrough, Readable } from "node:stream";
import { test } from "node:test";
import { setTimeout as wait } from "node:timers/promises";
import { LinkEnds } from "../../test/linkends.js";
import { bufferBody } from "../http/bufferbody.js";
import type { Address } from "../ids/address.js";
import { FrameReader } from "./framereader.js";
import { frameType } from "./frametype.js";
import type { LinkPool } from "./linkpool.js";
import { packResponse } from "./packresponse.js";
import { writeFrame } from "./writeframe.js";

type Serve = Parameters<typeof LinkEnds.between>[0];

const { metadata, call, between } = LinkEnds;
const response = { metadata, status: 200, headers: {}, body: undefined };
const serve: Serve = () => Promise.resolve(response);

const send = async (pool: LinkPool, body?: Readable): Promise<number> =>
    (await (await pool.acquire()).send(call({ body }))).status;

test("unresponsive link: an unresponsive connection fails its request, and idle connections can be closed", async () => {
    await between(serve, async ends => {
        const { pool, sockets, unresponsive } = ends;
        await Promise.all([send(pool), send(pool), send(pool)]);
        sockets.forEach(socket => ends.makeUnresponsive(socket));
        const sentAt = performance.now();
        await assert.rejects(send(pool), { reason: "peer-broke", unsent: false });
        assert.ok(performance.now() - sentAt < 1000, "detected within a second");
        assert.deepEqual(unresponsive, [pool.address]);
        pool.closeIdle();
        assert.equal(await send(pool), 200);
    });
});

test("unresponsive link: connections that are unresponsive together are detected with one new connection", async () => {
    await between(serve, async ends => {
        const { pool, sockets, unresponsive } = ends;
        await Promise.all(Array.from({ length: 10 }, () => send(pool)));
        sockets.forEach(socket => ends.makeUnresponsive(socket));
        const results = await Promise.allSettled(Array.from({ length: 10 }, () => send(pool)));
        assert.ok(results.every(({ status }) => status === "rejected"));
        assert.equal(unresponsive.length, 10);
        assert.equal(sockets.length, 11);
    });
});

test("unresponsive link: a slow response on a working connection is awaited", async () => {
    const slow: Serve = async () => {
        await wait(1200);
        return response;
    };
    await between(slow, async ({ pool, sockets, unresponsive }) => {
        assert.equal(await send(pool), 200);
        assert.equal(await send(pool), 200);
        assert.deepEqual([sockets.length, unresponsive.length], [1, 0]);
    });
});

test("unresponsive link: a connection to a host that does not respond at all is not closed as unresponsive", async () => {
    await between(serve, async ends => {
        await send(ends.pool);
        ends.makeUnresponsive(ends.sockets[0]!);
        ends.stopReading();
        const settled = await Promise.race([send(ends.pool).catch(() => "broken"), wait(2000, "waits")]);
        assert.equal(settled, "waits");
        assert.deepEqual(ends.unresponsive, []);
    });
});

test("unresponsive link: a new connection that does not respond to its probe is not used for requests", async () => {
    await between(serve, async ends => {
        await send(ends.pool);
        ends.makeUnresponsive(ends.sockets[0]!);
        ends.stopReading();
        void send(ends.pool).catch(() => "broken");
        await wait(1500);
        ends.resumeReading();
        assert.equal(await Promise.race([send(ends.pool).catch(() => "broken"), wait(200, "waits")]), 200);
    });
});

test("unresponsive link: an unread response or a body being sent does not make a connection unresponsive", async () => {
    const large: Serve = () => Promise.resolve({ ...response, body: Readable.from([Buffer.alloc(4_000_000)]) });
    await between(large, async ({ pool, unresponsive }) => {
        const { body } = await (await pool.acquire()).send(call({ head: { ...call().head, answer: "streamed" } }));
        await wait(1500);
        assert.deepEqual(unresponsive, []);
        assert.equal((await bufferBody(body as Readable, Infinity)).bytes.length, 4_000_000);
    });
    const unread: Serve = async ({ body }) => {
        await wait(1500);
        return { ...response, body: Buffer.from(String((await bufferBody(body as Readable, Infinity)).bytes.length)) };
    };
    await between(unread, async ({ pool, unresponsive }) => {
        assert.equal(await send(pool, Readable.from([Buffer.from("x")])), 200);
        assert.equal(await send(pool, Readable.from(Array.from({ length: 80 }, () => Buffer.alloc(50_000)))), 200);
        assert.deepEqual(unresponsive, []);
    });
});

test("unresponsive link: a streamed response may pause for longer than a check takes", async () => {
    const pausedBody = new PassThrough();
    await between(() => Promise.resolve({ ...response, body: pausedBody }), async ({ pool, unresponsive }) => {
        pausedBody.write("one");
        const { body } = await (await pool.acquire()).send(call({ head: { ...call().head, answer: "streamed" } }));
        setTimeout(() => pausedBody.end("two"), 1500);
        assert.equal(String((await bufferBody(body as Readable, Infinity)).bytes), "onetwo");
        assert.deepEqual(unresponsive, []);
    });
});

test("unresponsive link: a probe uses a new connection, and fails if the peer does not respond in time", async () => {
    await between(serve, async ends => {
        const { pool, sockets } = ends;
        await send(pool);
        ends.makeUnresponsive(sockets[0]!);
        assert.equal((await pool.probe(300))?.incarnation, metadata.incarnation);
        assert.equal(sockets.length, 2);
        ends.stopReading();
        await assert.rejects(pool.probe(100), { reason: "unreachable" });
    });
});

/** Serves as an older version does, which closes a connection on which it receives a probe. */
const serveWithoutProbes = (socket: Socket): void => {
    const reader = new FrameReader();
    socket.on("data", (chunk: Buffer) =>
        reader.read(chunk).forEach(({ type }) => {
            if (type === frameType.probe) {
                socket.destroy();
            }
            if (type === frameType.call) {
                setTimeout(
                    () => socket.write(writeFrame(frameType.response, packResponse({ ...response, last: false }))),
                    700,
                );
            }
        }));
};

test("unresponsive link: a peer that does not support probes receives none", async () => {
    const server = createServer(serveWithoutProbes);
    server.listen(0, "127.0.0.1");
    await once(server, "listening");
    const pool = LinkEnds.makePool(`127.0.0.1:${(server.address() as AddressInfo).port}` as Address);
    assert.equal(await send(pool), 200);
    assert.equal(await send(pool), 200);
    pool.close();
    server.close();
});

test("link: a peer states its identity; one that does not support it is not treated as gone", async () => {
    await between(() => Promise.resolve(response), async ({ pool }) => {
        const responseMetadata = await pool.requestIdentity();
        assert.equal(responseMetadata?.incarnation, LinkEnds.metadata.incarnation);
        assert.equal(responseMetadata?.gateTime, LinkEnds.metadata.gateTime);
        assert.equal(await send(pool), 200);
    });
    const server = createServer(serveWithoutProbes);
    server.listen(0, "127.0.0.1");
    await once(server, "listening");
    const pool = LinkEnds.makePool(`127.0.0.1:${(server.address() as AddressInfo).port}` as Address);
    assert.equal(await pool.requestIdentity(), undefined);
    assert.equal(await send(pool), 200);
    pool.close();
    server.close();
});
