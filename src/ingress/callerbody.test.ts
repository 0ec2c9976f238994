import assert from "node:assert/strict";
import type { IncomingMessage } from "node:http";
import { PassThrough, type Readable } from "node:stream";
import { buffer } from "node:stream/consumers";
import { test } from "node:test";
import { setImmediate } from "node:timers/promises";
import { BodyMemory } from "../policy/admission/bodymemory.js";
import { CallerBody } from "./callerbody.js";

const KEEP_BYTES = 1000;
const MAX_BYTES = 100_000;
const MEMORY_BYTES = 10_000;
const LONG_AGO_MS = 1000;

type Bench = { readonly memory: BodyMemory; now: number; };
type Caller = PassThrough & { readonly isPaused: () => boolean; };

const createBench = (): Bench => ({ memory: new BodyMemory(MEMORY_BYTES), now: 0 });

/** A request whose body is written by the test; its socket records whether it is paused. */
const createRequest = (length?: number): Caller & IncomingMessage => {
    const headers = length === undefined ? { "transfer-encoding": "chunked" } : { "content-length": String(length) };
    return Object.assign(new PassThrough(), { headers, socket: new PassThrough().resume() }) as never;
};

const collect = (req: IncomingMessage, bench: Bench, maxBytes = MAX_BYTES): CallerBody =>
    new CallerBody(req, {
        clock: () => bench.now,
        limits: { keepBytes: KEEP_BYTES, maxBytes },
        memory: bench.memory,
    });

/** Begins a body that is too long to be kept; returns its request and its stream. */
const startLong = async (
    bench: Bench,
): Promise<{ readonly req: Caller & IncomingMessage; readonly stream: Readable; }> => {
    const req = createRequest();
    const body = collect(req, bench);
    req.write(Buffer.alloc(KEEP_BYTES + 1));
    const collected = await body.collect(1000);
    assert.ok(collected.type === "long");
    return { req, stream: collected.stream };
};

test("caller body: a body in chunks of one byte is collected whole, and takes what its bytes take", async () => {
    const bench = createBench();
    const req = createRequest();
    const body = collect(req, bench);
    for (let index = 0; index < 900; index++) {
        req.write("b");
    }
    req.end();
    const collected = await body.collect(1000);
    assert.ok(collected.type === "whole" && collected.bytes.equals(Buffer.alloc(900, "b")));
    assert.ok(bench.memory.heldBytes <= 2 * 1024);
    body.release();
    assert.equal(bench.memory.heldBytes, 0);
});

// Guards against bodies without a length that reserve the memory for bytes that never arrive.
test("caller body: a body without a length reserves what has arrived", async () => {
    const bench = createBench();
    for (let index = 0; index < 100; index++) {
        const req = createRequest();
        collect(req, bench);
        req.write("0123456789");
        await setImmediate();
    }
    assert.equal(bench.memory.heldBytes, 1000);
    assert.equal(bench.memory.refusedCount, 0);
});

test("caller body: unfinished bodies are given up for others, those that began first before others", async () => {
    const bench = createBench();
    const requests = Array.from({ length: 10 }, () => createRequest(KEEP_BYTES));
    const bodies = requests.map((req, index) => {
        bench.now = index;
        return collect(req, bench);
    });
    assert.equal(await collect(createRequest(KEEP_BYTES), bench).collect(1000).then(({ type }) => type), "no-memory");
    requests[1]!.end(Buffer.alloc(KEEP_BYTES));
    assert.equal((await bodies[1]!.collect(1000)).type, "whole");
    bench.now = LONG_AGO_MS;
    const chunked = createRequest();
    const later = collect(chunked, bench);
    chunked.end(Buffer.alloc(KEEP_BYTES));
    assert.equal((await later.collect(2000)).type, "whole");
    assert.equal((await bodies[0]!.collect(2000)).type, "evicted");
    collect(createRequest(KEEP_BYTES), bench);
    assert.equal((await bodies[2]!.collect(2000)).type, "evicted");
    assert.equal(bench.memory.evictedCount, 2);
    assert.ok(bench.memory.heldBytes <= MEMORY_BYTES);
});

test("caller body: a body that is unfinished at its deadline fails, and its memory is free", async () => {
    const bench = createBench();
    const req = createRequest(KEEP_BYTES);
    const body = collect(req, bench);
    req.write("b");
    assert.equal((await body.collect(10)).type, "timeout");
    assert.equal(bench.memory.heldBytes, 0);
});

test("caller body: a body above the limit fails as soon as it exceeds it", async () => {
    const bench = createBench();
    assert.equal((await collect(createRequest(MAX_BYTES + 1), bench).collect(1000)).type, "too-large");
    const req = createRequest();
    const body = collect(req, bench, 500);
    req.write(Buffer.alloc(501));
    assert.equal((await body.collect(1000)).type, "too-large");
    assert.equal(bench.memory.heldBytes, 0);
});

test("caller body: a body whose caller leaves is incomplete", async () => {
    const bench = createBench();
    const req = createRequest();
    const body = collect(req, bench);
    req.write("b");
    req.destroy();
    assert.equal((await body.collect(1000)).type, "incomplete");
    assert.equal(bench.memory.heldBytes, 0);
});

test("caller body: a long body is streamed from its beginning, also if it arrives in chunks of one byte", async () => {
    const bench = createBench();
    const req = createRequest();
    const body = collect(req, bench);
    const bytes = Buffer.from(Array.from({ length: 20_000 }, (_, index) => index % 251));
    const sent = (async () => {
        for (const byte of bytes) {
            if (!req.write(Buffer.of(byte))) {
                await setImmediate();
            }
        }
        req.end();
    })();
    const collected = await body.collect(1000);
    assert.ok(collected.type === "long");
    assert.ok((await buffer(collected.stream)).equals(bytes));
    await sent;
    body.release();
    assert.equal(bench.memory.heldBytes, 0);
});

// Guards against thousands of chunks that wait in a stream's queue while nobody reads it.
test("caller body: a stream that nobody reads pauses its caller's socket, and reads on when it is read", async () => {
    const { req, stream } = await startLong(createBench());
    for (let index = 0; index < 10; index++) {
        req.write(Buffer.alloc(9000));
        await setImmediate();
    }
    assert.ok(req.socket.isPaused());
    assert.ok(stream.readableLength <= KEEP_BYTES + 1);
    req.end();
    assert.equal((await buffer(stream)).length, KEEP_BYTES + 1 + 90_000);
    assert.ok(!req.socket.isPaused());
});

test("caller body: a stream fails if the body exceeds the limit or its caller leaves", async () => {
    for (const fail of [(req: Caller) => req.write(Buffer.alloc(MAX_BYTES)), (req: Caller) => req.destroy()]) {
        const { req, stream } = await startLong(createBench());
        const read = buffer(stream);
        fail(req);
        await assert.rejects(read, { name: "BodyError" });
    }
});
