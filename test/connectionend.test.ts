/**
 * Responses without a length, whose end is that of their connection, and which a reset makes incomplete. The response and
 * the end of its connection arrive while the reader's event loop stands still: Node.js then reports a reset as an end.
 */
import assert from "node:assert/strict";
import { Readable } from "node:stream";
import { text } from "node:stream/consumers";
import { test, type TestContext } from "node:test";
import type { UpstreamClient } from "../src/gate/upstreamclient.js";
import type { Address } from "../src/ids/address.js";
import { probeHealth } from "../src/membership/probehealth.js";
import { PeerClient } from "../src/peer/peerclient.js";
import { StoreClient } from "../src/store/storeclient.js";
import { createUpstreamClient } from "./createupstreamclient.js";
import type { RawResponderOptions } from "./rawresponderoptions.js";
import { sendToUpstream } from "./sendtoupstream.js";
import { startRawResponder } from "./startrawresponder.js";

const LOCAL_IP = "127.0.0.1";
const ROUNDS = 8;
/** The response and the end of its connection have arrived by then. */
const STANDSTILL_MS = 40;
const PROBE_TIMEOUT_MS = 1000;
const RESPONSE_HEAD = "HTTP/1.1 200 OK\r\nwinglock-request-id: {id}\r\n\r\n";
const HEALTH_HEAD = "HTTP/1.1 200 OK\r\nwinglock-upstream: fees-1\r\n\r\n";
const UPLOAD_BYTES = 16 * 1024 * 1024;

/** Sends one request to the address and reads the whole response; rejects if it is broken. */
type Read = (address: Address) => Promise<unknown>;

const standStill = (ms: number): void => {
    const end = performance.now() + ms;
    while (performance.now() < end) {
        // Keeps the event loop from reading.
    }
};

const withUpstreamClient = async <Result>(
    address: Address,
    use: (client: UpstreamClient) => Promise<Result>,
): Promise<Result> => {
    const client = createUpstreamClient(address);
    try {
        return await use(client);
    }
    finally {
        await client.close();
    }
};

const readFromUpstream = (body?: () => Readable): Read => address =>
    withUpstreamClient(address, async client => {
        const response = await sendToUpstream(client, "r-1", { method: "POST", body: body?.() });
        return await text(response.body);
    });

const upload = (): Readable => Readable.from([Buffer.alloc(UPLOAD_BYTES)]);

const readFromStore: Read = async address => {
    const events = { onCall: () => {}, onBytes: () => {}, onUnresponsive: () => {} };
    const client = new StoreClient({
        address,
        localIp: LOCAL_IP,
        connections: 1,
        timeoutMs: 1000,
        checkPath: "/",
        checkIntervalMs: 1000,
        ...events,
    });
    try {
        return await client.tryCall({ kind: "find", method: "GET", path: "/find" });
    }
    finally {
        await client.close();
    }
};

const readFromPeer: Read = async address => {
    const options = { localIp: LOCAL_IP, key: "test-key-of-16-c", clock: () => performance.now() };
    const client = new PeerClient({ ...options, onUnresponsive: () => {} });
    try {
        return await client.status(address);
    }
    finally {
        await client.close();
    }
};

const JSON_BODY = JSON.stringify({ result: { data: [] } });

/** The readers of responses, and a body that each takes for a whole one. */
const readers: Readonly<
    Record<
        string,
        { readonly read: Read; readonly body: string; readonly head?: string; readonly readsUpload?: boolean; }
    >
> = {
    "an upstream's response": { read: readFromUpstream(), body: "half" },
    "an upstream's empty response": { read: readFromUpstream(), body: "" },
    "an upstream's response to an unfinished upload": {
        read: readFromUpstream(upload),
        body: "half",
        readsUpload: false,
    },
    "a health probe of a gate": {
        read: address => withUpstreamClient(address, client => client.probeHealth("/health", PROBE_TIMEOUT_MS)),
        head: HEALTH_HEAD,
        body: "half",
    },
    "a health probe before the registration": { read: address => probeHealth(address, "/health"), body: "half" },
    "the store's response": { read: readFromStore, body: JSON_BODY },
    "a peer's response": { read: readFromPeer, body: JSON_BODY },
};

/** Returns in how many rounds the response was read as a whole one. */
const countWhole = async (t: TestContext, read: Read, options: RawResponderOptions): Promise<number> => {
    const { address, received } = await startRawResponder(t, options);
    let whole = 0;
    for (let round = 0; round < ROUNDS; round++) {
        const request = received();
        const response = read(address).then(() => whole++, () => {});
        await Promise.race([request, response]);
        standStill(STANDSTILL_MS);
        await response;
    }
    return whole;
};

for (const [name, { read, head = RESPONSE_HEAD, ...response }] of Object.entries(readers)) {
    // Guards against a part of a response that is taken for the whole one (MIXED).
    test(`connection end: ${name} is incomplete after a reset`, async t => {
        assert.equal(await countWhole(t, read, { head, ...response, ending: "reset" }), 0);
    });

    // Guards against a check of the connection that also rejects whole responses without a length.
    test(`connection end: ${name} is whole after an orderly end`, async t => {
        assert.equal(await countWhole(t, read, { head, ...response, ending: "end" }), ROUNDS);
    });
}
