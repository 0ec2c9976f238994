import assert from "node:assert/strict";
import { once } from "node:events";
import { createServer, type ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import { test } from "node:test";
import { z } from "zod";
import type { Address } from "../ids/address.js";
import { StoreClient } from "./storeclient.js";

const TIMEOUT_MS = 100;
const WATCH_MS = 20_000;
const Answer = z.object({ at: z.int() });

type Serve = (path: string, res: ServerResponse, call: number) => void;

/** Runs a body with a client of a store that answers each call as `serve` does, by its number. */
const withClient = async (serve: Serve, body: (client: StoreClient) => Promise<void>): Promise<void> => {
    let calls = 0;
    const server = createServer((req, res) => serve(req.url ?? "", res, calls++));
    server.listen(0, "127.0.0.1");
    await once(server, "listening");
    const address = `127.0.0.1:${(server.address() as AddressInfo).port}` as Address;
    const told = { called: () => {}, counted: () => {}, onSilent: () => {} };
    const bounds = { connections: 4, timeoutMs: TIMEOUT_MS, eraHeader: "era" };
    const client = new StoreClient({ address, localIp: "127.0.0.1", ...bounds, ...told });
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
    client.callDated(Answer, { kind: "find", method: "GET", path: "/find" });
const watch = (client: StoreClient): Promise<unknown> =>
    client.call(Answer, { kind: "watch-records", method: "GET", path: "/watch", waitMs: WATCH_MS });

test("store client: a watch that waits on connections which carry nothing any more ends when a new one is answered", async () => {
    const serve: Serve = (path, res, call) => {
        if (path === "/find" && call > 1) {
            res.end(JSON.stringify({ at: 1 }));
        }
    };
    await withClient(serve, async client => {
        const startedAt = performance.now();
        const waiting = assert.rejects(watch(client), { message: "the store did not answer" });
        await assert.rejects(find(client));
        await find(client);
        await waiting;
        assert.ok(performance.now() - startedAt < WATCH_MS / 10);
    });
});

// Guards against watches that wait on silent connections while calls go on, over one that was opened after them.
test("store client: when all that is open has gone silent, the next call finds it out, and what watches ends", async () => {
    const rest = (): Promise<void> => new Promise(resolve => setTimeout(resolve, TIMEOUT_MS / 4));
    const silent = new Set<unknown>();
    const open = new Set<unknown>();
    const serve: Serve = (path, res) => {
        open.add(res.socket);
        if (path === "/find" && !silent.has(res.socket)) {
            res.end(JSON.stringify({ at: 1 }));
        }
    };
    for (let calls = 1; calls < 6; calls++) {
        await withClient(serve, async client => {
            for (let call = 0; call < calls; call++) {
                await find(client);
            }
            await rest();
            const waiting = [watch(client), watch(client)].map(each =>
                assert.rejects(each, { message: "the store did not answer" })
            );
            await rest();
            open.forEach(socket => silent.add(socket));
            await assert.rejects(find(client), { message: "the store did not answer" }, `after ${calls} calls`);
            await find(client);
            await Promise.all(waiting);
        });
    }
});
