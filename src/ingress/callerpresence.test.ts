import assert from "node:assert/strict";
import { once } from "node:events";
import { test } from "node:test";
import { setImmediate as nextTurn } from "node:timers/promises";
import { connectionBench } from "../../test/connectionbench.js";
import { pause } from "../../test/pause.js";
import { withConnection } from "../../test/withconnection.js";
import { UnreadMonitor } from "../time/unreadmonitor.js";
import { AcceptMonitor } from "./acceptmonitor.js";

const STALL_MS = 400;
/** A caller that has left is known to have by then, whatever its round trip. */
const PROBED_MS = 150;
/** A caller on the same host that has left is known to have by then. */
const PROBED_NEARBY_MS = 50;

type Bench = Parameters<Parameters<typeof withConnection>[1]>[0];

const { get } = connectionBench;
const clock = (): number => performance.now();

const stall = (): void => void Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, STALL_MS);

/** Runs the body with a connection whose event loop is observed. */
const withObserved = async (body: (bench: Bench) => Promise<void>): Promise<void> => {
    const unread = new UnreadMonitor(clock);
    unread.start();
    try {
        await withConnection(1, body, { unread, accepts: new AcceptMonitor(unread) });
    }
    finally {
        unread.stop();
    }
};

const firstAccepted = async ({ accepted }: Bench): Promise<Bench["accepted"][number]> => {
    while (accepted.length === 0) {
        await nextTurn();
    }
    return accepted[0]!;
};

// Guards against work for clients that have left (GONE): what the event loop read after it had been blocked looked fresh.
test("presence: a caller that left while the event loop was blocked is known to have left", async () => {
    await withObserved(async bench => {
        bench.socket.write(get("a"));
        bench.socket.destroy();
        stall();
        const { connection: { presence }, ...request } = await firstAccepted(bench);
        assert.equal(request.res.destroyed, false, "nothing shows it in the turn in which the request is read");
        await presence.settle(clock());
        assert.equal(request.res.destroyed, true);
        assert.notEqual(presence.endReadAt, undefined);
    });
});

test("presence: a caller that stays after the event loop was blocked is waited for once", async () => {
    await withObserved(async bench => {
        bench.socket.write(get("a"));
        stall();
        const { connection: { presence }, res } = await firstAccepted(bench);
        const settled = presence.settle(clock());
        assert.notEqual(settled, undefined);
        await settled;
        assert.equal(presence.settle(clock()), undefined);
        assert.equal(res.destroyed, false);
    });
});

test("presence: in calm nothing is waited for, also if the caller has shut down its sending side", async () => {
    await withObserved(async bench => {
        bench.socket.end(get("a"));
        const { connection: { presence }, res } = await firstAccepted(bench);
        assert.equal(presence.settle(clock()), undefined);
        await pause(PROBED_MS);
        assert.equal(presence.isHalfClosed, true);
        assert.equal(presence.settle(clock()), undefined);
        assert.equal(res.destroyed, false);
    });
});

// Guards against work for clients that have left (GONE): a daemon that stood still between two probes noticed it after that.
test("presence: a caller on the same host that leaves in calm is noticed soon", async () => {
    await withObserved(async bench => {
        bench.socket.write(get("a"));
        const { res } = await firstAccepted(bench);
        bench.socket.destroy();
        await pause(PROBED_NEARBY_MS);
        assert.equal(res.destroyed, true);
    });
});

// Guards against a request that is never written where each turn of the event loop is long: each check waited for another one.
test("presence: a wait whose own turn is long is not repeated", async () => {
    await withObserved(async bench => {
        bench.socket.write(get("a"));
        stall();
        const { connection: { presence } } = await firstAccepted(bench);
        const settled = presence.settle(clock());
        assert.notEqual(settled, undefined);
        setImmediate(stall);
        await settled;
        assert.equal(presence.settle(clock()), undefined);
    });
});

// Guards against a daemon that ran out of memory: with each wait more chunks of the body behind were parsed.
test("presence: a connection that is not read, since a request waits behind another one, is not waited for", async () => {
    await withObserved(async bench => {
        bench.socket.write(get("a") + get("b"));
        stall();
        const { connection: { presence } } = await firstAccepted(bench);
        assert.ok(presence.unreadMs(clock()) >= STALL_MS);
        assert.equal(presence.settle(clock()), undefined);
    });
});

// Guards against characters of a probe between two responses: the second one began in the middle of the probe.
test("presence: a caller that pipelines and shuts down its sending side gets only responses", async () => {
    await withConnection(2, async bench => {
        let received = "";
        bench.socket.on("data", chunk => received += String(chunk));
        bench.socket.end(get("a") + get("b"));
        await firstAccepted(bench);
        for (const index of [0, 1]) {
            await pause(PROBED_MS);
            bench.accepted[index]!.res.end(`response ${index}`);
        }
        await once(bench.socket, "close");
        assert.match(received, /^HTTP\/1\.1 200 OK\r\n[^]*response 0HTTP\/1\.1 200 OK\r\n[^]*response 1$/);
    });
});
