import assert from "node:assert/strict";
import { once } from "node:events";
import { type AddressInfo, createServer, type Socket } from "node:net";
import { test } from "node:test";
import { LinkEnds } from "../../test/linkends.js";
import type { GateCall } from "../hop/gatecall.js";
import type { HopError } from "../hop/hoperror.js";
import { Cancellation } from "../http/cancellation.js";
import type { Address } from "../ids/address.js";
import { LinkSession } from "../link/linksession.js";
import type { RequestMetadata } from "../wire/requestmetadata.js";
import { RemoteHop } from "./remotehop.js";

const KEY = "a-key-for-tests-only";
/** The time for which the gate's host reads nothing from a new connection. */
const READ_DELAY_MS = 200;
const REMAINING_MS = 900;

/** What the gate has received, and the error with which the request failed. */
type Sent = { readonly head: RequestMetadata | undefined; readonly err: unknown; };

/** Sends a request of this kind to a gate that is slow to read new connections. */
const sendToSlowGate = async (
    kind: RequestMetadata["kind"],
    overrides: Partial<GateCall> = {},
    onSocket?: (socket: Socket) => void,
): Promise<Sent> => {
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
        ...onSocket && { onSocket },
    });
    const call = LinkEnds.call(overrides);
    const head = { ...call.head, kind, remainingMs: REMAINING_MS, maxWaitMs: 100 };
    const err = await hop.send({ ...call, head }).then(() => undefined, (reason: unknown) => reason);
    server.close();
    await hop.close();
    return { head: receivedHead, err };
};

test("remote hop: the request's remaining time is reduced by the time that the handshake takes", async () => {
    const { head, err } = await sendToSlowGate("once");
    assert.equal(err, undefined);
    const { remainingMs, maxWaitMs } = head!;
    assert.ok(remainingMs <= REMAINING_MS - READ_DELAY_MS + 1, `${remainingMs} ms remain`);
    assert.ok(remainingMs > 0);
    assert.equal(maxWaitMs, 0);
});

// Guards against work for clients that have left (GONE): the daemon did not run while a connection was opened for the request.
test("remote hop: a request whose caller turns out to have left is not sent once its connection is ready", async () => {
    const cancel = new Cancellation();
    const settleCancel = async (): Promise<void> => cancel.abort();
    const { head, err } = await sendToSlowGate("repeatable", { cancel, settleCancel });
    assert.equal(head, undefined);
    assert.equal((err as HopError).outcome, "not-run");
});

test("remote hop: a request is sent over a new connection if the first one closes while its caller is asked for", async () => {
    const opened: Socket[] = [];
    const settleCancel = async (): Promise<void> => {
        const socket = opened.at(-1)!;
        socket.destroy();
        await once(socket, "close");
    };
    const { head, err } = await sendToSlowGate("repeatable", { settleCancel }, socket => opened.push(socket));
    assert.equal(err, undefined);
    assert.notEqual(head, undefined);
    assert.equal(opened.length, 2);
});
