import assert from "node:assert/strict";
import { once } from "node:events";
import { createServer, type ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import { test } from "node:test";
import { z } from "zod";
import { pause } from "../../test/pause.js";
import type { Address } from "../ids/address.js";
import { StoreClient } from "./storeclient.js";

const TIMEOUT_MS = 100;
const WATCH_WAIT_MS = 20_000;
const ENDLESS_PART = Buffer.alloc(128 * 1024, " ");
const ENDLESS_BOUND_MS = 5000;
const ResponseBody = z.object({ at: z.int() });

type Serve = (path: string, res: ServerResponse, call: number) => void;

/** Runs `body` with the client of a store whose responses `serve` sends; `call` is the number of the call, from 0. */
const withClient = async (serve: Serve, body: (client: StoreClient) => Promise<void>): Promise<void> => {
    let calls = 0;
    const server = createServer((req, res) => serve(req.url ?? "", res, calls++));
    server.listen(0, "127.0.0.1");
    await once(server, "listening");
    const address = `127.0.0.1:${(server.address() as AddressInfo).port}` as Address;
    const events = { onCall: () => {}, onBytes: () => {}, onUnresponsive: () => {} };
    const bounds = {
        connections: 4,
        timeoutMs: TIMEOUT_MS,
        checkPath: "/find",
        checkIntervalMs: WATCH_WAIT_MS,
        eraHeader: "era",
    };
    const client = new StoreClient({ address, localIp: "127.0.0.1", ...bounds, ...events });
    try {
        await body(client);
    }
    finally {
        await client.close().catch(() => {});
        server.closeAllConnections();
        server.close();
    }
};

const find = (client: StoreClient): Promise<unknown> =>
    client.callWithEra(ResponseBody, { kind: "find", method: "GET", path: "/find" });
const watch = (client: StoreClient): Promise<unknown> =>
    client.call(ResponseBody, { kind: "watch-records", method: "GET", path: "/watch", waitMs: WATCH_WAIT_MS });

test("store client: a pending watch on an unresponsive connection ends once a call on a new connection succeeds", async () => {
    const serve: Serve = (path, res, call) => {
        if (path === "/find" && call > 1) {
            res.end(JSON.stringify({ at: 1 }));
        }
    };
    await withClient(serve, async client => {
        const startedAt = performance.now();
        const pending = assert.rejects(watch(client), { message: "the store did not respond" });
        await assert.rejects(find(client));
        await find(client);
        await pending;
        assert.ok(performance.now() - startedAt < WATCH_WAIT_MS / 10);
    });
});

// Guards against watches that stay pending on unresponsive connections while calls succeed on a newer connection.
test("store client: the next call detects that all open connections are unresponsive, and pending watches end", async () => {
    const unresponsive = new Set<unknown>();
    const sockets = new Set<unknown>();
    const serve: Serve = (path, res) => {
        sockets.add(res.socket);
        if (path === "/find" && !unresponsive.has(res.socket)) {
            res.end(JSON.stringify({ at: 1 }));
        }
    };
    for (let calls = 1; calls < 6; calls++) {
        await withClient(serve, async client => {
            for (let call = 0; call < calls; call++) {
                await find(client);
            }
            await pause(TIMEOUT_MS / 4);
            const pending = [watch(client), watch(client)].map(each =>
                assert.rejects(each, { message: "the store did not respond" })
            );
            await pause(TIMEOUT_MS / 4);
            sockets.forEach(socket => unresponsive.add(socket));
            await assert.rejects(find(client), { message: "the store did not respond" }, `after ${calls} calls`);
            await find(client);
            await Promise.all(pending);
        });
    }
});

// Guards against a daemon that never gets a large document over a slow link, because each read is given up half-way.
test("store client: a response is received whole while its parts arrive, also for longer than the time limit", async () => {
    const text = JSON.stringify({ at: 1 });
    const serve: Serve = async (_, res) => {
        for (const character of text) {
            res.write(character);
            await new Promise(resolve => setTimeout(resolve, TIMEOUT_MS / 2));
        }
        res.end();
    };
    await withClient(serve, async client => {
        const startedAt = performance.now();
        assert.deepEqual(await find(client), { value: { at: 1 }, era: 0 });
        assert.ok(performance.now() - startedAt > 2 * TIMEOUT_MS);
    });
});

test("store client: a response that stops in the middle is given up after the time limit", async () => {
    await withClient((_, res) => void res.write(`{"at"`), async client => {
        const startedAt = performance.now();
        await assert.rejects(find(client), { message: "the store did not respond" });
        assert.ok(performance.now() - startedAt < 5 * TIMEOUT_MS);
    });
});

// Guards against a daemon that runs out of memory over a response without an end: each part of it renews the time limit.
test("store client: a response without an end fails its call and closes its connection", async () => {
    let closed: Promise<unknown> | undefined;
    const serve: Serve = (_path, res, call) => {
        if (call > 0) {
            res.end(JSON.stringify({ at: 1 }));
            return;
        }
        closed = once(res, "close");
        res.writeHead(200, { "content-type": "application/json" });
        const timer = setInterval(() => res.write(ENDLESS_PART), 1);
        res.on("close", () => clearInterval(timer));
    };
    await withClient(serve, async client => {
        const ended = assert.rejects(find(client), { message: "the store did not respond" });
        assert.equal(await Promise.race([ended, pause(ENDLESS_BOUND_MS).then(() => "reading")]), undefined);
        await closed;
        await find(client);
    });
});
