/** An upstream sends bytes without end in place of its response, until the client closes. */
import assert from "node:assert/strict";
import type { Socket } from "node:net";
import { test, type TestContext } from "node:test";
import { sendWithoutEnd } from "../../standin/sendwithoutend.js";
import { eventually } from "../../test/eventually.js";
import { sendToUpstream } from "../../test/sendtoupstream.js";
import { startUpstreamClient } from "../../test/startupstreamclient.js";

const PROBE_TIMEOUT_MS = 300;
const CLOSE_BOUND_MS = 2000;
const SLOW_INTERVAL_MS = 50;
const CHUNK = Buffer.alloc(64 * 1024, "x");

/** The beginning of what is sent; `x` follows without end. */
const BEGINNINGS: Readonly<Record<string, string>> = {
    "bytes that are no response": "",
    "a status line": "HTTP/1.1 200 ",
    "a field": "HTTP/1.1 200 OK\r\nwinglock-upstream: ",
    "a body without a length": "HTTP/1.1 200 OK\r\nwinglock-upstream: fees-1\r\n\r\n",
    "a body with a length": "HTTP/1.1 200 OK\r\nwinglock-upstream: fees-1\r\ncontent-length: 9007199254740991\r\n\r\n",
    "a chunk": "HTTP/1.1 200 OK\r\nwinglock-upstream: fees-1\r\ntransfer-encoding: chunked\r\n\r\nffffffff\r\n",
    "a chunk extension": "HTTP/1.1 200 OK\r\nwinglock-upstream: fees-1\r\ntransfer-encoding: chunked\r\n\r\n5;",
};

const REQUEST_ID = "request-1";
const REFUSAL =
    `HTTP/1.1 503 Service Unavailable\r\nwinglock-outcome: not-run\r\nwinglock-request-id: ${REQUEST_ID}\r\n`;

/** Refusals that prove that the request has not run; `x` follows without end. */
const REFUSALS: Readonly<Record<string, string>> = {
    "a body without a length": `${REFUSAL}\r\n`,
    "a body with a length": `${REFUSAL}content-length: 9007199254740991\r\n\r\n`,
    "a chunk": `${REFUSAL}transfer-encoding: chunked\r\n\r\nffffffff\r\n`,
};

/** Writes `part` once in `everyMs` until the connection closes. */
const sendSlowly = (socket: Socket, part: Buffer, everyMs: number): void => {
    const timer = setInterval(() => socket.write(part), everyMs);
    socket.on("close", () => clearInterval(timer));
};

/** Starts an upstream that sends what `respond` sends after the first bytes of each connection. */
const startUpstream = (t: TestContext, respond: (socket: Socket) => void): ReturnType<typeof startUpstreamClient> =>
    startUpstreamClient(t, socket => void socket.once("data", () => respond(socket)));

/** Asserts that the first connection is closed; another one may be open by then, which has carried nothing. */
const assertFirstCloses = (sockets: readonly Socket[]): Promise<unknown> =>
    eventually("the connection is closed", async () => sockets[0]!.destroyed, CLOSE_BOUND_MS);

for (const [name, beginning] of Object.entries(BEGINNINGS)) {
    // Guards against a daemon that reads what a faulty upstream sends without end, in a head or a body.
    test(`endless responses: a health probe that gets ${name} without end closes its connection`, async t => {
        const { client, sockets } = await startUpstream(t, socket => sendWithoutEnd(socket, beginning, CHUNK));
        await client.probeHealth("/health", PROBE_TIMEOUT_MS).catch(() => {
            // Whether the probe fails or is answered, nothing is read on.
        });
        await assertFirstCloses(sockets);
    });
}

const assertRefusalCloses = async (
    { client, sockets }: Awaited<ReturnType<typeof startUpstreamClient>>,
): Promise<void> => {
    await assert.rejects(sendToUpstream(client, REQUEST_ID), { reason: "shed" });
    await assertFirstCloses(sockets);
};

for (const [name, beginning] of Object.entries(REFUSALS)) {
    // Guards against a daemon that reads what a faulty upstream sends without end, behind a request that has ended.
    test(`endless responses: a refusal with ${name} without end closes its connection`, async t => {
        await assertRefusalCloses(await startUpstream(t, socket => sendWithoutEnd(socket, beginning, CHUNK)));
    });
}

// Guards against connections that stay open for each refusal of an upstream that never ends its responses.
test("endless responses: a refusal whose body arrives slowly without end closes its connection", async t => {
    const respond = (socket: Socket): void => {
        socket.write(REFUSALS["a body with a length"]!);
        sendSlowly(socket, Buffer.from("x"), SLOW_INTERVAL_MS);
    };
    await assertRefusalCloses(await startUpstream(t, respond));
});
