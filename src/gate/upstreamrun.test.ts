import assert from "node:assert/strict";
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { PassThrough, type Readable } from "node:stream";
import { buffer } from "node:stream/consumers";
import { test, type TestContext } from "node:test";
import type { Upstream } from "../config/upstream.js";
import { OwnDialect } from "../dialect/owndialect.js";
import type { GateCall } from "../hop/gatecall.js";
import type { GateResponse } from "../hop/gateresponse.js";
import { HopError } from "../hop/hoperror.js";
import { Cancellation } from "../http/cancellation.js";
import type { RequestId } from "../ids/requestid.js";
import { Ledger } from "../ledger/ledger.js";
import type { Reason } from "../policy/retry/reason.js";
import { afterPoll } from "../time/afterpoll.js";
import { CallContexts } from "./callcontexts.js";
import { Gate } from "./gate.js";
import type { GateDependencies } from "./gatedependencies.js";
import { GateIdentity } from "./gateidentity.js";

const LOCAL_IP = "127.0.0.1";
const TIME_LIMIT_MS = 500;

/** A ledger that calls `onStart` after a request has started. */
class ObservedLedger extends Ledger {
    onStart: () => void = () => {};

    override start(id: RequestId, now: number): boolean {
        const started = super.start(id, now);
        this.onStart();
        return started;
    }
}

type TestUpstream = { readonly address: string; readonly received: string[]; onHead: () => void; };

/** Starts a server that records the requests that it has received whole, and responds to them. */
const startUpstream = async (t: TestContext): Promise<TestUpstream> => {
    const server = createServer((req, res) => {
        upstream.onHead();
        req.on("error", () => {
            // The gate broke the request off.
        });
        req.resume().on("end", () => {
            upstream.received.push(String(req.url));
            res.end("ok");
        });
    });
    await new Promise<void>(resolve => server.listen(0, LOCAL_IP, resolve));
    t.after(() => server.close().closeAllConnections());
    const { port } = server.address() as AddressInfo;
    const upstream: TestUpstream = { address: `${LOCAL_IP}:${port}`, received: [], onHead: () => {} };
    return upstream;
};

/** A gate whose clock the test sets, in milliseconds; `arrivals` are those that it counted. */
type TestGate = {
    readonly gate: Gate;
    readonly ledger: ObservedLedger;
    readonly time: { now: number; };
    readonly arrivals: string[];
};

const createGate = (address: string): TestGate => {
    const time = { now: 1 };
    const arrivals: string[] = [];
    const ledger = new ObservedLedger(10);
    const dependencies: Partial<GateDependencies> = {
        clock: () => time.now,
        ledger,
        contexts: new CallContexts(),
        identity: new GateIdentity("i" as never, () => 1),
        dialect: new OwnDialect(),
        limit: "fixed",
        localIp: LOCAL_IP,
        medianLimitShare: () => undefined,
        onChange: () => {},
        onArrival: (_service, arrival) => void arrivals.push(arrival),
        onServed: () => {},
        quarantinedForMs: () => undefined,
        coldLimits: () => undefined,
        mayProbePace: () => false,
        mayProbeCold: () => false,
        mayProbeCrash: () => false,
    };
    const upstream = { name: "fees-1", service: "fees", address, slots: 2, draining: false } as unknown as Upstream;
    return { gate: new Gate(upstream, dependencies as GateDependencies), ledger, time, arrivals };
};

const createCall = (id: string, body?: Readable): GateCall =>
    ({
        head: {
            id,
            upstream: "fees-1",
            kind: "once",
            priority: "normal",
            team: "a",
            answer: "whole",
            incarnation: "i",
            gateTime: 1,
            remainingMs: TIME_LIMIT_MS,
            maxWaitMs: TIME_LIMIT_MS,
            depth: 0,
            choices: 0,
            nearChoices: 0,
            arrival: "first",
        },
        method: "POST",
        path: `/${id}`,
        headers: {},
        body,
        cancel: new Cancellation(),
    }) as unknown as GateCall;

const readBody = async ({ body }: GateResponse): Promise<void> => void await buffer(body as Readable);

const isRefusedFor = (reason: Reason) => (err: unknown): boolean =>
    err instanceof HopError && err.outcome === "not-run" && err.reason === reason && err.metadata?.arrived === false;

for (const connection of ["new", "reused"]) {
    // Guards against a request that starts after its caller got 504: a daemon that had been stopped wrote it when it
    // resumed.
    test(`upstream run: a request whose deadline passes before it is written to a ${connection} connection is not sent`, async t => {
        const { address, received } = await startUpstream(t);
        const { gate, ledger, time, arrivals } = createGate(address);
        t.after(() => gate.shutDown());
        if (connection === "reused") {
            await readBody(await gate.serve(createCall("before")));
        }
        ledger.onStart = () => time.now = TIME_LIMIT_MS + 1;
        await assert.rejects(gate.serve(createCall("late")), isRefusedFor("deadline-or-revoked"));
        assert.equal(ledger.revoke("late" as RequestId, TIME_LIMIT_MS, time.now), "revoked", "it is proven not to run");
        ledger.onStart = () => {};
        time.now = 1;
        await readBody(await gate.serve(createCall("after")));
        const served = connection === "reused" ? ["/before", "/after"] : ["/after"];
        assert.deepEqual(received, served);
        assert.equal(arrivals.length, served.length, "only requests that were sent count as arrivals");
    });
}

for (const connection of ["new", "reused"]) {
    // Guards against work for callers that have left (GONE): only the deadline was asked for when a connection was ready.
    test(`upstream run: a request whose caller leaves before it is written to a ${connection} connection is not sent`, async t => {
        const { address, received } = await startUpstream(t);
        const { gate, ledger, time } = createGate(address);
        t.after(() => gate.shutDown());
        if (connection === "reused") {
            await readBody(await gate.serve(createCall("before")));
        }
        const call = createCall("left");
        ledger.onStart = () => call.cancel.abort();
        await assert.rejects(gate.serve(call), isRefusedFor("caller-left"));
        assert.equal(ledger.revoke("left" as RequestId, TIME_LIMIT_MS, time.now), "revoked", "it is proven not to run");
        assert.equal(received.includes("/left"), false);
    });

    // Guards against the same after a stall of the process, in which the leaving is read after the connection is ready.
    test(`upstream run: a request waits before it is written to a ${connection} connection while a leaving may be unread`, async t => {
        const { address, received } = await startUpstream(t);
        const { gate, ledger } = createGate(address);
        t.after(() => gate.shutDown());
        if (connection === "reused") {
            await readBody(await gate.serve(createCall("before")));
        }
        const serve = (id: string, onRead: (call: GateCall) => void): Promise<GateResponse> => {
            let pendingReads: Promise<void> | undefined;
            const call = { ...createCall(id), settleCancel: () => pendingReads };
            ledger.onStart = () => {
                pendingReads = afterPoll().then(() => {
                    pendingReads = undefined;
                    onRead(call);
                });
            };
            return gate.serve(call);
        };
        await assert.rejects(serve("left", ({ cancel }) => cancel.abort()), isRefusedFor("caller-left"));
        await readBody(await serve("stays", () => {}));
        assert.deepEqual(received.filter(path => path !== "/before"), ["/stays"]);
    });
}

// Guards against the same start by a streamed body whose end was received while the daemon was stopped.
test("upstream run: a streamed body is not sent to its end after the request's deadline", async t => {
    const upstream = await startUpstream(t);
    const { gate, time } = createGate(upstream.address);
    t.after(() => gate.shutDown());
    const body = new PassThrough();
    body.write("first part");
    upstream.onHead = () => {
        time.now = TIME_LIMIT_MS + 1;
        body.end("last part");
    };
    const isUnknown = (err: unknown): boolean => err instanceof HopError && err.outcome === "unknown";
    await assert.rejects(gate.serve(createCall("late", body)), isUnknown);
    assert.deepEqual(upstream.received, []);
});
