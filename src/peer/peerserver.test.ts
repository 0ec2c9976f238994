import assert from "node:assert/strict";
import { once } from "node:events";
import { connect } from "node:net";
import { test } from "node:test";
import { setTimeout as wait } from "node:timers/promises";
import { Worker } from "node:worker_threads";
import { takeRunNumber } from "../../demo/takerunnumber.js";
import { LinkEnds } from "../../test/linkends.js";
import type { GateCall } from "../hop/gatecall.js";
import { frameType } from "../link/frametype.js";
import { packCall } from "../link/packcall.js";
import { writeFrame } from "../link/writeframe.js";
import { BodyMemory } from "../policy/admission/bodymemory.js";
import { UnreadMonitor } from "../time/unreadmonitor.js";
import { PeerServer } from "./peerserver.js";

const KEY = "a-key-for-tests-only";
const PORT = 7100;
/** More than the system buffers of a loopback connection take from a process whose peer does not read. */
const RESPONSE_BYTES = 16 * 1024 * 1024;

/** Blocks this process, so that it reads nothing, as on a host whose processor is overloaded. */
const stall = (ms: number): void => {
    for (const until = performance.now() + ms; performance.now() < until;) {
        // Busy loop: no other code of this process runs.
    }
};

const request = (): Buffer =>
    Buffer.concat([
        writeFrame(frameType.greeting, Buffer.from(KEY)),
        writeFrame(frameType.call, packCall(LinkEnds.call(), undefined)),
    ]);

/** Code of the caller. It runs in a thread of its own, so that it continues while the listener's thread is blocked. */
const CALLER = `
    const { connect } = require("node:net");
    const { parentPort, workerData: { host, port, bytes, leaves } } = require("node:worker_threads");
    const socket = connect(port, host, () => setTimeout(() => parentPort.postMessage("connected"), 50));
    parentPort.once("message", () => {
        socket.write(bytes);
        if (leaves) socket.end();
    });
`;

type Serve = (call: GateCall) => Promise<object>;

const createPeerServer = (serve: Serve): PeerServer =>
    new PeerServer({
        key: KEY,
        clock: () => performance.now(),
        unread: new UnreadMonitor(() => performance.now()),
        identity: { responseMetadata: () => LinkEnds.metadata } as never,
        service: undefined as never,
        bodyMemory: new BodyMemory(0),
        gate: () => ({ serve, upstream: {} }) as never,
        pullConfiguration: async () => {},
        findRule: () => undefined,
        isStale: () => false,
        onSender: () => {},
    });

test("peer server: a first request that is read after its caller has left reaches the gate cancelled", async () => {
    const served: GateCall[] = [];
    const server = createPeerServer(async call => {
        served.push(call);
        return { status: 200, headers: {}, body: undefined, metadata: LinkEnds.metadata };
    });
    const { run, lock } = await takeRunNumber();
    const host = `127.${run}.3.1`;
    await server.listen(`${host}:${PORT}`);
    const send = async (callerLeaves: boolean): Promise<void> => {
        const caller = new Worker(CALLER, {
            eval: true,
            workerData: { host, port: PORT, bytes: request(), leaves: callerLeaves },
        });
        await once(caller, "message");
        caller.postMessage("send");
        stall(100);
        await wait(50);
        await caller.terminate();
    };
    await send(false);
    await send(true);
    await server.close();
    lock.close();
    assert.deepEqual(served.map(({ cancel }) => cancel.aborted), [false, true]);
});

// Guards against a stop that takes a peer's response for sent while the process still buffers a part of it.
test("peer server: a response is in flight until a peer that reads slowly has been sent all of it", async () => {
    const body = Buffer.alloc(RESPONSE_BYTES);
    const server = createPeerServer(async () => ({ status: 200, headers: {}, body, metadata: LinkEnds.metadata }));
    const { run, lock } = await takeRunNumber();
    const host = `127.${run}.3.1`;
    await server.listen(`${host}:${PORT}`);
    const peer = connect(PORT, host);
    peer.pause();
    peer.write(request());
    await wait(200);
    assert.equal(server.inFlight, 1);
    let receivedBytes = 0;
    peer.on("data", (chunk: Buffer) => receivedBytes += chunk.length);
    peer.resume();
    while (server.inFlight > 0) {
        await wait(10);
    }
    const closed = server.close();
    server.destroy();
    await Promise.all([closed, once(peer, "close")]);
    lock.close();
    assert.ok(receivedBytes > RESPONSE_BYTES, `${receivedBytes} bytes`);
});

// Guards against a stop that lasts until it is killed, since a connection on which nothing has arrived stays open.
test("peer server: closing also ends connections on which nothing has arrived", { timeout: 5000 }, async () => {
    const server = createPeerServer(async () => ({}));
    const { run, lock } = await takeRunNumber();
    const host = `127.${run}.3.1`;
    await server.listen(`${host}:${PORT}`);
    const silent = connect(PORT, host);
    silent.on("error", () => {});
    await once(silent, "connect");
    await wait(50);
    const closed = server.close();
    server.destroy();
    await Promise.all([closed, once(silent, "close")]);
    lock.close();
});
