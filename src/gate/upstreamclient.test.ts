import assert from "node:assert/strict";
import type { Socket } from "node:net";
import { text } from "node:stream/consumers";
import { test, type TestContext } from "node:test";
import { setTimeout as wait } from "node:timers/promises";
import { sendToUpstream } from "../../test/sendtoupstream.js";
import { startUpstreamClient } from "../../test/startupstreamclient.js";
import type { HttpHeaders } from "../http/httpheaders.js";
import type { UpstreamClient } from "./upstreamclient.js";
import { UpstreamError } from "./upstreamerror.js";

const REQUEST_ID = "winglock-request-id";
const PROBE_TIMEOUT_MS = 1000;
/** Time after a response by which its connection can be reused. */
const RELEASE_MS = 20;

const served = (id: string): string =>
    `HTTP/1.1 200 OK\r\n${REQUEST_ID}: ${id}\r\nwinglock-limit: 100\r\ncontent-length: ${id.length}\r\n\r\n${id}`;

const refused = (ids: readonly string[]): string => {
    const idFields = ids.map(id => `${REQUEST_ID}: ${id}\r\n`).join("");
    return `HTTP/1.1 503 Service Unavailable\r\nwinglock-outcome: not-run\r\n${idFields}content-length: 0\r\n\r\n`;
};

const healthy = "HTTP/1.1 200 OK\r\nwinglock-upstream: fees-1\r\ncontent-length: 0\r\n\r\n";

/** Writes what the upstream sends when a request arrives; `id` is undefined for a health probe. */
type Respond = (socket: Socket, id: string | undefined, connection: number) => void;

type TestClient = {
    readonly client: UpstreamClient;
    /** Headers of the responses that the client has accepted. */
    readonly accepted: HttpHeaders[];
    /** The number of connections that the upstream has accepted. */
    readonly connectionCount: () => number;
    readonly send: (id: string) => Promise<string>;
};

const startClient = async (t: TestContext, respond: Respond): Promise<TestClient> => {
    const accepted: HttpHeaders[] = [];
    const onConnection = (socket: Socket, connection: number): void => {
        socket.on("data", data => respond(socket, /winglock-request-id: (\S+)/.exec(data.toString())?.[1], connection));
    };
    const { client, sockets } = await startUpstreamClient(t, onConnection, headers => accepted.push(headers));
    const send = async (id: string): Promise<string> => {
        const { body } = await sendToUpstream(client, id, { method: "POST" });
        return await text(body);
    };
    return { client, accepted, connectionCount: () => sockets.length, send };
};

const isUpstreamError = (reason: string) => (err: unknown): boolean =>
    err instanceof UpstreamError && err.reason === reason;

const otherIds: Readonly<Record<string, readonly string[]>> = {
    "the id of the request before": ["a"],
    "no id": [],
    "two ids": ["b", "a"],
};

for (const [name, ids] of Object.entries(otherIds)) {
    // Guards against a request that ran twice, or ran though it was answered 503: a surplus refusal arrived in the place
    // of the response to the next request on the connection.
    test(`upstream client: a refusal with ${name} proves and reports nothing, and ends its connection`, async t => {
        const { accepted, connectionCount, send } = await startClient(t, (socket, id) => {
            socket.write(id === "b" ? refused(ids) + served("b") : served(id!));
        });
        assert.equal(await send("a"), "a");
        await assert.rejects(send("b"), isUpstreamError("foreign-answer"));
        assert.equal(accepted.length, 1, "the client has accepted the response to `a` only");
        assert.equal(await send("c"), "c");
        assert.equal(connectionCount(), 2);
    });
}

test("upstream client: a refusal with the request's id proves that it has not run, and its connection is reused", async t => {
    const { connectionCount, send } = await startClient(t, (socket, id) => {
        socket.write(id === "a" ? refused(["a"]) : served(id!));
    });
    await assert.rejects(send("a"), isUpstreamError("shed"));
    await wait(RELEASE_MS);
    assert.equal(await send("b"), "b");
    assert.equal(connectionCount(), 1);
});

// Guards against a request that ran though it was answered 503: a surplus refusal of its first attempt arrived in the
// place of the response to its second one on the same connection, with the same id.
test("upstream client: a request that returns after its refusal is sent over another connection", async t => {
    const refusedOn = new Set<number>();
    const { connectionCount, send } = await startClient(t, (socket, id, connection) => {
        if (id !== "a" || connectionCount() > 1) {
            socket.write(served(id!));
        }
        else if (refusedOn.has(connection)) {
            socket.write(refused(["a"]) + served("a"));
        }
        else {
            refusedOn.add(connection);
            socket.write(refused(["a"]));
        }
    });
    await assert.rejects(send("a"), isUpstreamError("shed"));
    await wait(RELEASE_MS);
    assert.equal(await send("a"), "a");
    assert.equal(connectionCount(), 2);
    assert.equal(await send("b"), "b");
    assert.equal(connectionCount(), 2, "the new connection has replaced the old one");
});

// Guards against load and limits taken from a surplus response, and against a connection that stays out of step.
test("upstream client: a probe accepts no response to a request, and ends its connection", async t => {
    const { client, accepted, connectionCount, send } = await startClient(t, (socket, id) => {
        socket.write(id === undefined ? served("a") : served(id));
    });
    assert.equal(await send("a"), "a");
    await assert.rejects(client.probeHealth("/health", PROBE_TIMEOUT_MS), isUpstreamError("foreign-answer"));
    assert.equal(accepted.length, 1);
    assert.equal(await send("b"), "b");
    assert.equal(connectionCount(), 2);
});

test("upstream client: a probe accepts the response that the upstream sends to it", async t => {
    const { client, accepted, connectionCount, send } = await startClient(t, (socket, id) => {
        socket.write(id === undefined ? healthy : served(id));
    });
    assert.equal((await client.probeHealth("/health", PROBE_TIMEOUT_MS)).status, 200);
    assert.equal(accepted.length, 1);
    assert.equal(await send("a"), "a");
    assert.equal(connectionCount(), 1);
});

test("upstream client: a surplus response that arrives while no request is outstanding ends its connection", async t => {
    const { accepted, connectionCount, send } = await startClient(t, (socket, id) => {
        socket.write(served(id!) + (id === "a" ? refused(["a"]) : ""));
    });
    assert.equal(await send("a"), "a");
    assert.equal(await send("b"), "b");
    assert.equal(accepted.length, 2);
    assert.equal(connectionCount(), 2);
});
