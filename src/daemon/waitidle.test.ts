import assert from "node:assert/strict";
import { once } from "node:events";
import { type AddressInfo, createServer, type Socket } from "node:net";
import { test } from "node:test";
import { setImmediate as nextCheck } from "node:timers/promises";
import { Worker } from "node:worker_threads";
import { waitIdle } from "./waitidle.js";

const LIMIT_MS = 100;
const STALL_MS = 300;

/** Code of the peer. It runs in a thread of its own, so that it continues while this thread is blocked. */
const PEER = `
    const { connect } = require("node:net");
    const { parentPort, workerData: { port, afterMs } } = require("node:worker_threads");
    const socket = connect(port, "127.0.0.1");
    parentPort.once("message", () => setTimeout(() => socket.write("."), afterMs));
`;

/** Runs the body with a socket on which a peer writes `afterMs` milliseconds after `begin` was called. */
const withPeer = async (
    afterMs: number,
    body: (socket: Socket, begin: () => void) => Promise<void>,
): Promise<void> => {
    const server = createServer().listen(0, "127.0.0.1");
    await once(server, "listening");
    const peer = new Worker(PEER, {
        eval: true,
        workerData: { port: (server.address() as AddressInfo).port, afterMs },
    });
    const [socket] = await once(server, "connection") as [Socket];
    socket.on("error", () => {});
    try {
        await body(socket, () => peer.postMessage("begin"));
    }
    finally {
        server.close();
        await peer.terminate();
    }
};

const clock = (): number => performance.now();

const stall = (): void => {
    for (const until = clock() + STALL_MS; clock() < until;) {
        // Busy loop: no other code of this thread runs.
    }
};

// Guards against a stop that cuts off requests whose answers arrived while the process got no processor time.
test("wait: work that ended during a stall beyond the limit is not left over", async () => {
    await withPeer(LIMIT_MS / 2, async (socket, begin) => {
        let count = 1;
        socket.on("data", () => count -= 1);
        begin();
        const left = waitIdle(() => count, { clock, until: clock() + LIMIT_MS });
        await nextCheck();
        stall();
        assert.equal(await left, 0);
    });
});

// Guards against a stop that closes connections with requests that arrived while the process got no processor time.
test("wait: work that arrived during a stall is waited for", async () => {
    await withPeer(LIMIT_MS / 2, async (socket, begin) => {
        let count = 1;
        setTimeout(() => count -= 1, 1);
        socket.on("data", () => {
            count += 1;
            setTimeout(() => count -= 1, LIMIT_MS);
        });
        begin();
        const idleAt = waitIdle(() => count, { clock, until: clock() + 10 * STALL_MS }).then(left => [left, clock()]);
        await nextCheck();
        stall();
        const stalledUntil = clock();
        const [left, at] = await idleAt;
        assert.equal(left, 0);
        assert.ok(at! - stalledUntil >= LIMIT_MS - 1, `${at! - stalledUntil} ms`);
    });
});

test("wait: it ends at the limit with the work that is left", async () => {
    const startedAt = clock();
    assert.equal(await waitIdle(() => 3, { clock, until: startedAt + LIMIT_MS }), 3);
    assert.ok(clock() - startedAt >= LIMIT_MS - 1);
});

test("wait: it ends at once when the stop is forced", async () => {
    const force = new AbortController();
    const left = waitIdle(() => 1, { clock, until: clock() + 60_000, forceStop: force.signal });
    force.abort();
    assert.equal(await left, 1);
});
