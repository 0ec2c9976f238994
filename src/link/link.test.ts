import assert from "node:assert/strict";
import { Readable } from "node:stream";
import { test } from "node:test";
import { LinkEnds } from "../../test/linkends.js";
import type { GateCall } from "../hop/gatecall.js";
import { bufferBody } from "../http/bufferbody.js";
import { Cancellation } from "../http/cancellation.js";
import type { Address } from "../ids/address.js";
import { FrameReader } from "./framereader.js";
import { frameType } from "./frametype.js";
import type { LinkPool } from "./linkpool.js";
import { writeFrame } from "./writeframe.js";

const { metadata } = LinkEnds;

type Serve = Parameters<typeof LinkEnds.between>[0];

const textOf = async (body: Buffer | Readable | undefined): Promise<string> =>
    (await bufferBody(body ?? Buffer.alloc(0), Infinity)).bytes.toString();

const echo: Serve = async ({ method, path, headers, body }) => ({
    metadata,
    status: 200,
    headers,
    body: Buffer.from(`${method} ${path} ${await textOf(body)}`),
});

const send = async (pool: LinkPool, call: GateCall): Promise<Awaited<ReturnType<SendFunction>>> =>
    await (await pool.acquire()).send(call);
type SendFunction = Awaited<ReturnType<LinkPool["acquire"]>>["send"];

test("link: requests and responses are transferred unchanged, one after the other on one connection", async () => {
    await LinkEnds.between(echo, async ({ pool, sockets }) => {
        for (const body of [undefined, Buffer.from("x"), Buffer.alloc(100_000, "y")]) {
            const response = await send(pool, LinkEnds.call({ body }));
            assert.equal(await textOf(response.body), `POST /a/b?c=d ${body?.toString() ?? ""}`);
            assert.deepEqual(response.headers, { "host": "h", "set-cookie": ["one", "two"] });
            assert.equal(response.status, 200);
            assert.deepEqual(response.metadata, metadata);
        }
        assert.equal(sockets.length, 1);
    });
});

test("link: bodies that are not buffered are streamed in both directions", async () => {
    const chunks = Array.from({ length: 40 }, (_, index) => Buffer.alloc(20_000, 65 + index % 26));
    const whole = Buffer.concat(chunks).toString();
    const serve: Serve = async ({ body }) => ({
        metadata,
        status: 200,
        headers: {},
        body: Readable.from([await textOf(body)], { objectMode: false }),
    });
    await LinkEnds.between(serve, async ({ pool }) => {
        const response = await send(pool, LinkEnds.call({ body: Readable.from(chunks, { objectMode: false }) }));
        assert.equal(await textOf(response.body), whole);
    });
});

test("link: streamed bodies leave no listeners on the connection that they shared", async () => {
    const serve: Serve = async () => ({ metadata, status: 200, headers: {}, body: Readable.from([Buffer.from("x")]) });
    await LinkEnds.between(serve, async ({ pool, sockets }) => {
        const streamed = { ...LinkEnds.call().head, answer: "streamed" as const };
        const listeners: number[] = [];
        for (let round = 0; round < 5; round++) {
            assert.equal(await textOf((await send(pool, LinkEnds.call({ head: streamed }))).body), "x");
            listeners.push(sockets[0]!.listenerCount("close") + sockets[0]!.listenerCount("drain"));
        }
        assert.equal(sockets.length, 1);
        assert.equal(listeners.at(-1), listeners[0]);
    });
});

test("link: concurrent requests use separate connections and get their own responses", async () => {
    const serve: Serve = async ({ path }) => {
        await new Promise(resolve => setTimeout(resolve, path.length % 7 * 3));
        return { metadata, status: 200, headers: {}, body: Buffer.from(path) };
    };
    await LinkEnds.between(serve, async ({ pool }) => {
        const paths = Array.from({ length: 50 }, (_, index) => `/${"p".repeat(index)}`);
        const bodies = await Promise.all(
            paths.map(async path => await textOf((await send(pool, LinkEnds.call({ path }))).body)),
        );
        assert.deepEqual(bodies, paths);
    });
});

test("link: a body that breaks off fails at the other end, and the connection stays in use", async () => {
    const serve: Serve = async ({ path }) => ({
        metadata,
        status: 200,
        headers: {},
        body: path === "/ok"
            ? Buffer.from("ok")
            : new Readable({
                read() {
                    this.push("begun");
                    this.destroy(new Error("broke"));
                },
            }).on("error", () => {}),
    });
    await LinkEnds.between(serve, async ({ pool, sockets }) => {
        const { body } = await send(pool, LinkEnds.call());
        await assert.rejects(textOf(body));
        assert.equal(await textOf((await send(pool, LinkEnds.call({ path: "/ok" }))).body), "ok");
        assert.equal(sockets.length, 1);
    });
});

test("link: a body that broke off before it was read fails at the other end too", async () => {
    for (const mode of ["whole", "streamed"] as const) {
        const body = new Readable({ read() {} }).on("error", () => {});
        body.destroy(new Error("broke"));
        await new Promise(resolve => body.on("close", resolve));
        await LinkEnds.between(async () => ({ metadata, status: 200, headers: {}, body }), async ({ pool }) => {
            const { head } = LinkEnds.call();
            const response = await send(pool, LinkEnds.call({ head: { ...head, answer: mode } }));
            await assert.rejects(textOf(response.body), mode);
        });
    }
});

test("link: a reset connection fails its request, which may have run", async () => {
    await LinkEnds.between(() => new Promise(() => {}), async ({ pool, sockets }) => {
        const sent = send(pool, LinkEnds.call());
        setTimeout(() => sockets[0]!.resetAndDestroy(), 30);
        await assert.rejects(sent, { reason: "peer-broke", unsent: false });
    });
});

test("link: a refused connection proves that nothing was sent", async () => {
    const pool = LinkEnds.makePool("127.0.0.1:1" as Address);
    await assert.rejects(pool.acquire(), { reason: "unreachable", unsent: true });
});

test("link: the server learns of a cancelled request; one that was cancelled before is not sent", async () => {
    let cancelledAt: number | undefined;
    const serve: Serve = (_call, cancel) => new Promise(() => cancel.onAbort(() => cancelledAt = performance.now()));
    await LinkEnds.between(serve, async ({ pool }) => {
        const cancel = new Cancellation();
        const sent = send(pool, LinkEnds.call({ cancel }));
        setTimeout(() => cancel.abort(), 20);
        await assert.rejects(sent);
        await new Promise(resolve => setTimeout(resolve, 50));
        assert.ok(cancelledAt !== undefined);
        await assert.rejects(send(pool, LinkEnds.call({ cancel })), { reason: "called-off", unsent: true });
    });
});

test("link: a closing server ends the connection after the response", async () => {
    await LinkEnds.between(echo, async ends => {
        await send(ends.pool, LinkEnds.call());
        ends.isClosing = true;
        const { last } = await send(ends.pool, LinkEnds.call());
        assert.equal(last, true);
        ends.isClosing = false;
        assert.equal((await send(ends.pool, LinkEnds.call())).last, false);
        assert.equal(ends.sockets.length, 2);
    });
});

test("link: a wrong key or an invalid frame ends the connection", async () => {
    await LinkEnds.between(echo, async ({ pool }) => {
        const other = LinkEnds.makePool(pool.address, { key: "another-key-for-tests" });
        await assert.rejects(send(other, LinkEnds.call()), { reason: "peer-broke" });
        other.close();
    });
    assert.throws(() => new FrameReader().read(Buffer.from("GET / HTTP/1.1")));
    assert.throws(() => new FrameReader().read(Buffer.from([frameType.data, 255, 255, 255, 255])));
});

test("link: frames are read however the bytes are split into chunks", () => {
    const bytes = Buffer.concat([1, 2, 3].map(count => writeFrame(frameType.data, Buffer.alloc(count * 5, count))));
    for (let step = 1; step < bytes.length; step++) {
        const reader = new FrameReader();
        const lengths: number[] = [];
        for (let offset = 0; offset < bytes.length; offset += step) {
            reader.read(bytes.subarray(offset, offset + step)).forEach(frame => lengths.push(frame.payload.length));
        }
        assert.deepEqual(lengths, [5, 10, 15]);
    }
});

const CHECK_TIMEOUT_MS = 1000;

/** Serves requests once the sender has answered whether their callers are there; records which were cancelled by then. */
const checkFirst = (cancelled: boolean[]): Serve => async ({ checkCaller }, cancel) => {
    await checkCaller!(CHECK_TIMEOUT_MS);
    cancelled.push(cancel.aborted);
    return { metadata, status: 200, headers: {}, body: undefined };
};

const checkedHead = { ...LinkEnds.call().head, answersCallerChecks: true };

test("link: the sender of a request answers that the caller is there, once it knows", async () => {
    const cancelled: boolean[] = [];
    await LinkEnds.between(checkFirst(cancelled), async ({ pool, sockets }) => {
        const settle = [undefined, async () => {}, () => undefined];
        for (const settleCancel of settle) {
            const startedAt = performance.now();
            assert.equal((await send(pool, LinkEnds.call({ head: checkedHead, settleCancel }))).status, 200);
            assert.ok(performance.now() - startedAt < CHECK_TIMEOUT_MS / 2);
        }
        assert.deepEqual(cancelled, [false, false, false]);
        assert.equal(sockets.length, 1);
    });
});

test("link: a request whose caller turns out to have left is cancelled by the check", async () => {
    const cancelled: boolean[] = [];
    await LinkEnds.between(checkFirst(cancelled), async ({ pool }) => {
        const cancel = new Cancellation();
        const settleCancel = async (): Promise<void> => cancel.abort();
        await assert.rejects(send(pool, LinkEnds.call({ head: checkedHead, cancel, settleCancel })));
        while (cancelled.length === 0) {
            await new Promise(resolve => setTimeout(resolve, 1));
        }
        assert.deepEqual(cancelled, [true]);
    });
});

test("link: a check that is not answered ends with its time", async () => {
    const cancelled: boolean[] = [];
    await LinkEnds.between(checkFirst(cancelled), async ({ pool }) => {
        const settleCancel = (): Promise<void> => new Promise(() => {});
        const startedAt = performance.now();
        assert.equal((await send(pool, LinkEnds.call({ head: checkedHead, settleCancel }))).status, 200);
        assert.ok(performance.now() - startedAt >= CHECK_TIMEOUT_MS - 1);
        assert.deepEqual(cancelled, [false]);
    });
});

test("link: a sender that does not state that it answers is not asked", async () => {
    const serve: Serve = async ({ checkCaller }) => ({
        metadata,
        status: checkCaller === undefined ? 200 : 500,
        headers: {},
        body: undefined,
    });
    await LinkEnds.between(serve, async ({ pool }) => {
        assert.equal((await send(pool, LinkEnds.call())).status, 200);
    });
});
