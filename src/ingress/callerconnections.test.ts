import assert from "node:assert/strict";
import { once } from "node:events";
import { createServer } from "node:http";
import { type AddressInfo, connect } from "node:net";
import { test } from "node:test";
import { setImmediate, setTimeout as pause } from "node:timers/promises";
import { connectionBench } from "../../test/connectionbench.js";
import { connectionDefaults } from "../../test/connectiondefaults.js";
import { withConnection } from "../../test/withconnection.js";
import { HeldMemory } from "../policy/admission/heldmemory.js";
import { CallerConnections } from "./callerconnections.js";

/** The bound on the time from a caller's leaving to the cancellation of its requests. */
const CANCEL_BOUND_MS = 500;
/** Long enough for everything that was written on loopback to be read. */
const SETTLE_MS = 50;

const { maxAccepted: MAX_ACCEPTED, run: withBench, get, answer, pathsOf, bodiesOf, closingOf } = connectionBench;

test("connection: responses that are ready early are sent in the order of the requests", async () => {
    await withBench(async ({ accepted, socket, received }) => {
        socket.write(get("a") + get("b") + get("c"));
        await pause(SETTLE_MS);
        answer(accepted[2]!);
        answer(accepted[1]!);
        await pause(SETTLE_MS);
        assert.equal(received(), "");
        answer(accepted[0]!);
        await pause(SETTLE_MS);
        assert.equal(bodiesOf(received()), "abc");
        assert.equal(closingOf(received()), "kkk");
    });
});

test("connection: requests beyond the bound are accepted in order as earlier ones are answered", async () => {
    await withBench(async ({ connections, accepted, socket, received }) => {
        const names = "abcdefghij";
        socket.write([...names].map(name => get(name)).join(""));
        await pause(SETTLE_MS);
        assert.equal(pathsOf(accepted), "abc");
        assert.equal(connections.waitingCount, names.length - 1);
        assert.equal(accepted[0]!.connection.behind(accepted[0]!.res), names.length - 1);
        for (let index = 0; index < names.length; index++) {
            answer(accepted[index]!);
            await pause(5);
            assert.ok(accepted.filter(({ isClosed }) => !isClosed).length <= MAX_ACCEPTED);
        }
        await pause(SETTLE_MS);
        assert.equal(bodiesOf(received()), names);
    });
});

test("connection: a caller that sends far more than the bound is not read on", async () => {
    await withBench(async ({ connections, accepted, socket }) => {
        const flood = get("a", `x-fill: ${"f".repeat(8000)}\r\n`).repeat(4000);
        socket.write(flood);
        await pause(SETTLE_MS * 10);
        assert.equal(accepted.length, MAX_ACCEPTED);
        assert.ok(connections.waitingCount < 100, `${connections.waitingCount} were parsed`);
    });
});

test("connection: heads and bodies that are split at every byte are read", async () => {
    await withBench(async ({ accepted, socket, received }) => {
        const text = get("a") + "POST /b HTTP/1.1\r\nhost: h\r\ncontent-length: 3\r\n\r\nxyz" + get("c");
        for (const byte of text) {
            socket.write(byte);
            await pause(1);
        }
        await pause(SETTLE_MS);
        assert.equal(pathsOf(accepted), "abc");
        assert.equal(accepted[1]!.bodyBytes(), 3);
        accepted.forEach(answer);
        await pause(SETTLE_MS);
        assert.equal(bodiesOf(received()), "abc");
    });
});

test("connection: a caller that has shut down its sending side gets all responses, and the last one closes", async () => {
    await withBench(async ({ accepted, socket, received, isEnded }) => {
        socket.end("abcde".replace(/./g, name => get(name)));
        await pause(CANCEL_BOUND_MS);
        assert.ok(accepted.every(({ isClosed }) => !isClosed));
        for (let index = 0; index < 5; index++) {
            answer(accepted[index]!);
            await pause(5);
        }
        await pause(SETTLE_MS);
        assert.equal(bodiesOf(received()), "abcde");
        assert.equal(received().match(/HTTP\/1\.1 200 OK/g)?.length, 5, received());
        assert.ok(received().startsWith("HTTP/1.1 200"), received());
        assert.equal(closingOf(received()), "kkkkc");
        assert.ok(isEnded());
    });
});

test("connection: the requests before a bad one are answered, then 400 closes the connection", async () => {
    await withBench(async ({ accepted, socket, received, isEnded }) => {
        socket.write("abcd".replace(/./g, name => get(name)) + "no request\r\n\r\n" + get("e"));
        await pause(SETTLE_MS);
        assert.equal(pathsOf(accepted), "abc");
        assert.equal(received(), "");
        for (let index = 0; index < 4; index++) {
            answer(accepted[index]!);
            await pause(5);
        }
        await pause(SETTLE_MS);
        assert.equal(pathsOf(accepted), "abcd");
        assert.deepEqual(received().match(/HTTP\/1\.1 \d+/g)?.map(line => line.slice(9)), [
            "200",
            "200",
            "200",
            "200",
            "400",
        ]);
        assert.equal(closingOf(received()), "kkkkc");
        assert.ok(isEnded());
    });
});

test("connection: a body that can't be parsed gets 400 once the requests before it are answered", async () => {
    await withBench(async ({ accepted, socket, received, isEnded }) => {
        socket.write(get("a") + "POST /b HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n\r\nno size\r\n");
        await pause(SETTLE_MS);
        assert.equal(pathsOf(accepted), "ab");
        answer(accepted[0]!);
        await pause(SETTLE_MS);
        assert.deepEqual(received().match(/HTTP\/1\.1 \d+/g), ["HTTP/1.1 200", "HTTP/1.1 400"]);
        assert.ok(isEnded());
        assert.ok(accepted.every(({ isClosed }) => isClosed));
    });
});

// Guards against a daemon that ran out of memory: one socket read holds hundreds of requests, and each was kept.
test("connection: requests that take more than the memory for requests close their connection", async () => {
    await withConnection(MAX_ACCEPTED, async ({ connections, accepted, socket, isEnded }) => {
        socket.write(get("a").repeat(200));
        await pause(SETTLE_MS * 2);
        assert.ok(socket.destroyed || isEnded());
        assert.ok(accepted.every(({ isClosed }) => isClosed));
        assert.equal(connections.waitingCount, 0);
    }, { requestMemory: new HeldMemory(100 * 6 * 1024) });
});

// Guards against ordinary callers that are not answered while one connection is served thousands of refused requests.
test("connection: pipelined requests that are answered at once leave other callers their turn", async () => {
    const server = createServer();
    let answeredCount = 0;
    const connections = new CallerConnections(server, {
        ...connectionDefaults(MAX_ACCEPTED),
        serve: ({ res }) => {
            answeredCount += 1;
            res.end();
        },
    });
    server.listen(0, "127.0.0.1");
    await once(server, "listening");
    const caller = connect((server.address() as AddressInfo).port, "127.0.0.1").on("error", () => {}).resume();
    caller.write(get("a").repeat(1000));
    while (connections.waitingCount === 0) {
        await setImmediate();
    }
    const countBefore = answeredCount;
    await setImmediate();
    assert.ok(answeredCount - countBefore < 100, `${answeredCount - countBefore} were answered in one turn`);
    while (answeredCount < 1000) {
        await setImmediate();
    }
    caller.destroy();
    server.close();
    server.closeAllConnections();
});
