import assert from "node:assert/strict";
import { once } from "node:events";
import { type AddressInfo, createServer } from "node:net";
import { Readable } from "node:stream";
import { test } from "node:test";
import { setTimeout as pause } from "node:timers/promises";
import { BodyBench } from "../../test/bodybench.js";
import { HopError } from "../hop/hoperror.js";
import { Cancellation } from "../http/cancellation.js";
import type { Address } from "../ids/address.js";
import { FrameReader } from "../link/framereader.js";
import { frameType } from "../link/frametype.js";
import { packResponse } from "../link/packresponse.js";
import { unpackCall } from "../link/unpackcall.js";
import { writeFrame } from "../link/writeframe.js";
import type { ResponseMetadata } from "../wire/responsemetadata.js";
import { RemoteHop } from "./remotehop.js";

const BODY = Buffer.from(Array.from({ length: 200_000 }, (_, index) => index * 7 % 251));
/** More than the frames of a request without its body. */
const HEAD_BYTES = 2000;
const AMPLE_MEMORY = 10_000_000;
/** Long enough for a request on loopback to reach the gate's queue. */
const SETTLE_MS = 100;

const reasonOf = async (request: Promise<unknown>): Promise<string> => {
    try {
        await request;
        return "served";
    }
    catch (err) {
        assert.ok(err instanceof HopError, String(err));
        return `${err.outcome} ${err.reason}`;
    }
};

test("body on demand: an admitted request's body arrives unchanged, and its bytes are sent once", async () => {
    await BodyBench.run(AMPLE_MEMORY, async (bench, hop) => {
        for (const id of ["first", "second"]) {
            const sentBefore = bench.sentBytes;
            await BodyBench.send(hop, id, { body: BODY });
            assert.ok(bench.bodies.at(-1)!.equals(BODY));
            assert.ok(bench.sentBytes - sentBefore < BODY.length + HEAD_BYTES, `${bench.sentBytes - sentBefore} bytes`);
        }
        assert.equal(bench.memory.heldBytes, 0);
    });
});

test("body on demand: a request that is refused while it is queued has sent no byte of its body", async () => {
    await BodyBench.run(AMPLE_MEMORY, async (bench, hop) => {
        bench.isHolding = true;
        const running = BodyBench.send(hop, "running", { body: Buffer.from("small") });
        await pause(SETTLE_MS);
        const sentBefore = bench.sentBytes;
        const head = { maxWaitMs: SETTLE_MS } as never;
        const refused = await reasonOf(BodyBench.send(hop, "refused", { body: BODY, head }));
        assert.equal(refused, "not-run wait-too-long");
        assert.ok(bench.sentBytes - sentBefore < HEAD_BYTES, `${bench.sentBytes - sentBefore} bytes`);
        bench.release();
        await running;
        assert.equal(bench.bodies.length, 1);
        await BodyBench.send(hop, "next", { body: BODY });
        assert.ok(bench.bodies[1]!.equals(BODY), "the connection is used again");
    });
});

test("body on demand: a caller that leaves while its body waits has sent none of it, and frees its place", async () => {
    await BodyBench.run(AMPLE_MEMORY, async (bench, hop) => {
        bench.isHolding = true;
        const running = BodyBench.send(hop, "running");
        await pause(SETTLE_MS);
        const sentBefore = bench.sentBytes;
        const cancel = new Cancellation();
        const left = reasonOf(BodyBench.send(hop, "left", { body: BODY, cancel }));
        await pause(SETTLE_MS);
        cancel.abort();
        assert.match(await left, /peer-broke/);
        assert.ok(bench.sentBytes - sentBefore < HEAD_BYTES);
        bench.release();
        await running;
        assert.equal(await reasonOf(BodyBench.send(hop, "next", { body: BODY })), "served");
        assert.equal(bench.memory.heldBytes, 0);
    });
});

test("body on demand: a link that breaks while the body waits loses the request, which has not run", async () => {
    await BodyBench.run(AMPLE_MEMORY, async (bench, hop) => {
        bench.isHolding = true;
        const running = BodyBench.send(hop, "running").catch(() => {});
        await pause(SETTLE_MS);
        const broken = reasonOf(BodyBench.send(hop, "broken", { body: BODY }));
        await pause(SETTLE_MS);
        bench.breakLinks();
        assert.match(await broken, /broken peer-broke/);
        bench.release();
        await running;
        await pause(SETTLE_MS);
        assert.equal(await reasonOf(BodyBench.send(hop, "next", { body: BODY })), "served");
        assert.deepEqual(bench.bodies.map(body => body.length), [0, BODY.length]);
    });
});

test("body on demand: requests without memory for their bodies are refused at once, and the others are served", async () => {
    await BodyBench.run(BODY.length * 2, async (bench, hop) => {
        const held = bench.memory.reserve(BODY.length + 1)!;
        assert.equal(await reasonOf(BodyBench.send(hop, "refused", { body: BODY })), "not-run body-memory");
        held.release();
        const ids = Array.from({ length: 8 }, (_, index) => `many-${index}`);
        const results = await Promise.all(ids.map(id => reasonOf(BodyBench.send(hop, id, { body: BODY }))));
        const served = results.filter(result => result === "served").length;
        assert.ok(served > 0);
        assert.equal(bench.bodies.length, served);
        assert.ok(bench.bodies.every(body => body.equals(BODY)));
        assert.equal(bench.memory.heldBytes, 0);
    });
});

test("body on demand: a request that is refused at one gate and sent to another sends its body once", async () => {
    await BodyBench.run(AMPLE_MEMORY, async (full, hopToFull) => {
        full.isHolding = true;
        const running = BodyBench.send(hopToFull, "running");
        await pause(SETTLE_MS);
        await BodyBench.run(AMPLE_MEMORY, async (other, hopToOther) => {
            const sentBefore = full.sentBytes;
            const head = { choices: 1 } as never;
            assert.equal(await reasonOf(BodyBench.send(hopToFull, "retried", { body: BODY, head })), "not-run busy");
            assert.equal(await reasonOf(BodyBench.send(hopToOther, "again", { body: BODY })), "served");
            assert.ok(other.bodies[0]!.equals(BODY));
            assert.ok(full.sentBytes - sentBefore + other.sentBytes < BODY.length + HEAD_BYTES);
        });
        full.release();
        await running;
    });
});

// An older version would take a request whose body is to be asked for as one without a body.
test("body on demand: a peer of an older version gets the body with the request", async () => {
    const metadata = { incarnation: "older", gateTime: 1, revision: 1 } as ResponseMetadata;
    const bodies: unknown[] = [];
    const server = createServer(socket => {
        const reader = new FrameReader();
        socket.on("data", chunk => {
            for (const { type, payload } of reader.read(chunk)) {
                if (type === frameType.probe) {
                    socket.write(writeFrame(frameType.probeResponse, Buffer.alloc(0)));
                }
                if (type === frameType.call) {
                    bodies.push(unpackCall(payload).body);
                    const response = { metadata, status: 200, headers: {}, last: false, body: undefined };
                    socket.write(writeFrame(frameType.response, packResponse(response)));
                }
            }
        });
    });
    server.listen(0, "127.0.0.1");
    await once(server, "listening");
    const address = `127.0.0.1:${(server.address() as AddressInfo).port}` as Address;
    const peer = { hello: async () => metadata } as never;
    const options = { localIp: "127.0.0.1", key: "key", clock: () => performance.now(), onUnresponsive: () => {} };
    const hop = new RemoteHop(address, peer, options);
    for (const id of ["first", "second"]) {
        await BodyBench.send(hop, id, { body: BODY });
    }
    await hop.close();
    server.close();
    assert.ok(bodies.length === 2 && bodies.every(body => BODY.equals(body as Buffer)));
});

// The rest of a streamed body that the gate no longer read kept the connection paused, also for the next request.
test("body on demand: a connection on which a stream was abandoned serves the next request", async () => {
    await BodyBench.run(AMPLE_MEMORY, async (bench, hop) => {
        bench.isBreaking = true;
        for (let index = 0; index < 4; index++) {
            const parts = Array.from({ length: 128 }, () => Buffer.alloc(64 * 1024));
            const body = Readable.from(parts, { objectMode: false }).on("error", () => {});
            const startedAt = performance.now();
            await reasonOf(BodyBench.send(hop, `broken-${index}`, { body }));
            assert.ok(performance.now() - startedAt < 2000, "the request has a result before its deadline");
        }
    });
});

test("body on demand: a body of at most 16 KiB is sent with its request", async () => {
    await BodyBench.run(AMPLE_MEMORY, async (bench, hop) => {
        await BodyBench.send(hop, "first", { body: BODY.subarray(0, 16 * 1024) });
        assert.equal(bench.bodies[0]!.length, 16 * 1024);
    });
});
