import assert from "node:assert/strict";
import type { Socket } from "node:net";
import { test } from "node:test";
import { setTimeout as pause } from "node:timers/promises";
import { connectionBench } from "../../test/connectionbench.js";

/** The bound on the time from a caller's leaving to the cancellation of its requests. */
const CANCEL_BOUND_MS = 500;
/** Long enough for everything that was written on loopback to be read. */
const SETTLE_MS = 50;

const { maxAccepted: MAX_ACCEPTED, run: withBench, get, answer, pathsOf, bodiesOf, closingOf } = connectionBench;

test("connection: a stop accepts nothing more, and only the last accepted response closes the connection", async () => {
    await withBench(async ({ connections, accepted, socket, received, isEnded }) => {
        socket.write("abcdef".replace(/./g, name => get(name)));
        await pause(SETTLE_MS);
        answer(accepted[1]!);
        connections.startClosing();
        answer(accepted[2]!);
        socket.write(get("g"));
        await pause(SETTLE_MS);
        answer(accepted[0]!);
        await pause(SETTLE_MS);
        assert.equal(pathsOf(accepted), "abc");
        assert.equal(bodiesOf(received()), "abc");
        assert.equal(closingOf(received()), "kkc");
        assert.ok(isEnded());
    });
});

test("connection: during a stop an idle connection serves one more request, which closes it", async () => {
    await withBench(async ({ connections, accepted, socket, received, isEnded }) => {
        connections.startClosing();
        socket.write(get("a") + get("b"));
        await pause(SETTLE_MS);
        accepted.forEach(answer);
        await pause(SETTLE_MS);
        assert.equal(pathsOf(accepted), "a");
        assert.equal(closingOf(received()), "c");
        assert.ok(isEnded());
    });
});

test("connection: after a stop during the last response, which stays open, one more request is served and closes", async () => {
    await withBench(async ({ connections, accepted, socket, received, isEnded }) => {
        socket.write(get("a"));
        await pause(SETTLE_MS);
        accepted[0]!.turn.begin();
        accepted[0]!.res.write("part");
        connections.startClosing();
        socket.write(get("b") + get("c"));
        await pause(SETTLE_MS);
        accepted[0]!.res.end();
        await pause(SETTLE_MS);
        answer(accepted[1]!);
        await pause(SETTLE_MS);
        assert.equal(pathsOf(accepted), "ab");
        assert.match(received(), /part/);
        assert.equal(closingOf(received()), "kc");
        assert.ok(isEnded());
    });
});

test("connection: a request that asks to close its connection is the last one accepted", async () => {
    await withBench(async ({ accepted, socket, received, isEnded }) => {
        socket.write(get("a") + get("b", "connection: close\r\n") + get("c"));
        await pause(SETTLE_MS);
        assert.equal(pathsOf(accepted), "ab");
        answer(accepted[1]!);
        answer(accepted[0]!);
        await pause(SETTLE_MS);
        assert.equal(bodiesOf(received()), "ab");
        assert.equal(closingOf(received()), "kc");
        assert.ok(isEnded());
    });
});

const leaving: readonly (readonly [string, (socket: Socket) => void])[] = [
    ["closes its connection", socket => void socket.destroy()],
    ["resets its connection", socket => void socket.resetAndDestroy()],
];
for (const [how, leave] of leaving) {
    for (const count of [1, MAX_ACCEPTED, MAX_ACCEPTED + 2]) {
        test(`connection: a caller that ${how} with ${count} requests cancels all accepted ones in time`, async () => {
            await withBench(async ({ connections, accepted, socket }) => {
                socket.write(get("a").repeat(count));
                await pause(SETTLE_MS);
                leave(socket);
                await pause(CANCEL_BOUND_MS);
                assert.equal(accepted.length, Math.min(count, MAX_ACCEPTED));
                assert.ok(accepted.every(({ isClosed, res }) => isClosed && res.destroyed));
                assert.equal(connections.waitingCount, 0);
            });
        });
    }
}

test("connection: a response can close the connection only if nothing behind it was accepted", async () => {
    await withBench(async ({ accepted, socket }) => {
        socket.write(get("a") + get("b"));
        await pause(SETTLE_MS);
        assert.deepEqual(accepted.map(({ turn }) => turn.mayClose), [false, true]);
    });
});
