import assert from "node:assert/strict";
import { once } from "node:events";
import { type AddressInfo, createServer } from "node:net";
import { test } from "node:test";
import { LinkEnds } from "../../test/linkends.js";
import type { Address } from "../ids/address.js";
import { LinkSession } from "../link/linksession.js";
import type { RequestMetadata } from "../wire/requestmetadata.js";
import { RemoteHop } from "./remotehop.js";

const KEY = "a-key-for-tests-only";
/** The time for which the gate's host reads nothing from a new connection. */
const READ_DELAY_MS = 200;
const REMAINING_MS = 900;

/** Sends a request of this kind to a gate that is slow to read new connections; returns the metadata received there. */
const headAtSlowGate = async (kind: RequestMetadata["kind"]): Promise<RequestMetadata> => {
    let receivedHead: RequestMetadata | undefined;
    const identity = (): typeof LinkEnds.metadata => ({ ...LinkEnds.metadata, gateTime: performance.now() });
    const server = createServer({ pauseOnConnect: true }, socket => {
        setTimeout(() => {
            const session = new LinkSession(socket, {
                key: Buffer.from(KEY),
                serve: async ({ head }) => {
                    receivedHead = head;
                    return { metadata: identity(), status: 200, headers: {}, body: undefined };
                },
                refuseInvalid: () => assert.fail(),
                identity,
                isClosing: () => true,
            });
            socket.resume();
            return session;
        }, READ_DELAY_MS);
    });
    server.listen(0, "127.0.0.1");
    await once(server, "listening");
    const address = `127.0.0.1:${(server.address() as AddressInfo).port}` as Address;
    const clock = (): number => performance.now();
    const hop = new RemoteHop(address, undefined as never, {
        localIp: "127.0.0.1",
        key: KEY,
        clock,
        onUnresponsive: () => {},
    });
    const call = LinkEnds.call();
    await hop.send({ ...call, head: { ...call.head, kind, remainingMs: REMAINING_MS, maxWaitMs: 100 } });
    server.close();
    await hop.close();
    return receivedHead!;
};

test("remote hop: the request's remaining time is reduced by the time that the handshake takes", async () => {
    const { remainingMs, maxWaitMs } = await headAtSlowGate("once");
    assert.ok(remainingMs <= REMAINING_MS - READ_DELAY_MS + 1, `${remainingMs} ms remain`);
    assert.ok(remainingMs > 0);
    assert.equal(maxWaitMs, 0);
});
