import assert from "node:assert/strict";
import { createServer, type RequestListener, type Server } from "node:http";
import type { AddressInfo } from "node:net";
import { test, type TestContext } from "node:test";
import { setTimeout as wait } from "node:timers/promises";
import { SharedLink } from "../../standin/sharedlink.js";
import { documentWithRules } from "../../test/documentwithrules.js";
import { CurrentConfiguration } from "../distribution/currentconfiguration.js";
import type { Address } from "../ids/address.js";
import { handleCall } from "./handlecall.js";
import { PeerClient } from "./peerclient.js";
import { ResponseBodies } from "./responsebodies.js";
import { Transfer } from "./transfer.js";

/** 7 Mbit/s, the slowest link of the users' hosts. */
const LINK_BYTES_PER_S = 875_000;
/** Half of the daemons of a hall of 25, whose watcher they pull from. */
const FOLLOWERS = 12;
const ADDED_RULES = 1400;
/** What is left for the transfer of the 2.5 s in which a change is in force (docs/design/configuration-growth.md). */
const TRANSFER_BOUND_MS = 1000;
/** A round of heartbeats, with which a follower asks again. */
const RETRY_MS = 2000;
const ATTEMPTS = 3;
const KEY = "test-key-of-16-c";

const configurationWithChange = (): CurrentConfiguration => {
    const configuration = new CurrentConfiguration();
    configuration.apply(documentWithRules(1, 8));
    configuration.apply(documentWithRules(2, 8 + ADDED_RULES));
    return configuration;
};

const listen = async (server: Server): Promise<number> => {
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    return (server.address() as AddressInfo).port;
};

/** Serves the responses of a watcher over a link of the given rate; `createClient` makes the client of a follower. */
const serveOverLink = async (t: TestContext, respond: RequestListener, bytesPerSecond = LINK_BYTES_PER_S) => {
    const server = createServer(respond);
    const link = new SharedLink(await listen(server), bytesPerSecond);
    const watcher = `127.0.0.1:${await link.listen()}` as Address;
    const clients: PeerClient[] = [];
    t.after(async () => {
        await Promise.all(clients.map(client => client.close()));
        link.close();
        server.close();
    });
    const createClient = (): PeerClient => {
        const client = new PeerClient({ key: KEY } as never);
        clients.push(client);
        return client;
    };
    return { watcher, link, createClient };
};

const pullUntilReceived = async (client: PeerClient, watcher: Address, startedAt: number): Promise<number> => {
    for (let attempt = 1;; attempt++) {
        const update = await client.update(watcher, 1, new Transfer()).catch(() => undefined);
        if (update !== undefined || attempt === ATTEMPTS) {
            return update === undefined ? Infinity : performance.now() - startedAt;
        }
        await wait(RETRY_MS);
    }
};

// Guards against followers that all give up a large update at once, because their watcher's link is slow, and begin
// again: no follower had the change within the time in which it has to be in force.
test("large update: each follower has it within a second of its announcement, over one slow link", async t => {
    const configuration = configurationWithChange();
    const service = { update: (have: number) => configuration.updateFor(have) };
    const bodies = new ResponseBodies();
    const { watcher, link, createClient } = await serveOverLink(
        t,
        (req, res) => void handleCall(req, res, service as never, bodies),
    );
    const startedAt = performance.now();
    const tookMs = await Promise.all(
        Array.from({ length: FOLLOWERS }, () => pullUntilReceived(createClient(), watcher, startedAt)),
    );
    const late = tookMs.filter(ms => ms > TRANSFER_BOUND_MS);
    assert.deepEqual(late, [], `late of ${FOLLOWERS}; the link carried ${link.sentBytes} bytes`);
});

// Guards against a daemon that gives up an update of a peer without compression although it is being received.
test("large update: it is received whole while bytes arrive, also for longer than other calls may take", async t => {
    const update = configurationWithChange().updateFor(1);
    const respond: RequestListener = (_, res) => void res.end(JSON.stringify({ result: { data: update } }));
    const { watcher, createClient } = await serveOverLink(t, respond, LINK_BYTES_PER_S / 4);
    const startedAt = performance.now();
    const received = await createClient().update(watcher, 1, new Transfer());
    const tookMs = performance.now() - startedAt;
    assert.deepEqual(received, JSON.parse(JSON.stringify(update)));
    assert.ok(tookMs > TRANSFER_BOUND_MS, `${tookMs} ms`);
});

// Guards against a daemon that waits ten seconds for the rest of an update from a peer that has stopped.
test("large update: a peer that stops sending in the middle is given up after a second", async t => {
    const { watcher, createClient } = await serveOverLink(t, (_, res) => void res.write(`{"result":{"data":`));
    const startedAt = performance.now();
    await assert.rejects(createClient().update(watcher, 1, new Transfer()));
    const tookMs = performance.now() - startedAt;
    assert.ok(tookMs < 2 * TRANSFER_BOUND_MS, `${tookMs} ms`);
});
