/**
 * Clients leave while a daemon does not run: a request, and the end of its connection behind it, are unread until it runs
 * again. SIGSTOP stands for any time in which a process gets no processor time.
 */
import assert from "node:assert/strict";
import { Agent } from "node:http";
import { connect } from "node:net";
import { test } from "node:test";
import { pause } from "./pause.js";
import type { PlatformMesh } from "./platformmesh.js";
import { sendAndAbort } from "./sendandabort.js";
import { withPlatform } from "./withplatform.js";

const CLIENTS = 20;
/** No more than the upstreams have slots: a probe takes half of the target time of such a request. */
const HALF_CLOSED_CLIENTS = 4;
const ROUNDS = 5;
const LEAVE_AFTER_MS = 15;
/** The users' bound on the time from a client's leaving to the last run that may begin for it. */
const LEFT_BOUND_MS = 500;
/** Longer than the time limits of the requests, so that nothing of a round is left when the next one begins. */
const SETTLE_MS = 1200;

/** Which requests are sent to the daemon of which host while that of another, or the same, is stopped. */
type Case = {
    readonly stalled: string;
    readonly ingress: string;
    readonly method: string;
    readonly path: string;
    readonly stallMs: number;
    readonly isKept?: boolean;
    readonly rounds?: number;
};

/** Opens a connection for each client, which stays open. */
const openConnections = async (mesh: PlatformMesh, { ingress, method, path }: Case, agent: Agent): Promise<void> => {
    await Promise.all(
        Array.from(
            { length: CLIENTS },
            (_, index) => mesh.send(ingress, method, path, `open-${index}`, 1000, {}, agent),
        ),
    );
};

/** Returns the ids of the requests that began to run after the daemon was resumed, at least `stallMs` after they left. */
const runRound = async (mesh: PlatformMesh, round: number, roundCase: Case): Promise<string[]> => {
    const { stalled, ingress, method, path, stallMs, isKept = false } = roundCase;
    const { ip } = mesh.host(ingress);
    const agent = isKept ? new Agent({ keepAlive: true }) : undefined;
    if (agent !== undefined) {
        await openConnections(mesh, roundCase, agent);
    }
    const daemon = mesh.daemons.get(stalled)!;
    daemon.signal("SIGSTOP");
    const ids = Array.from({ length: CLIENTS }, (_, index) => `left-${round}-${index}`);
    await Promise.all(ids.map(id => sendAndAbort({ ip, method, path, id, agent }, LEAVE_AFTER_MS)));
    await pause(stallMs);
    const begun = new Set(mesh.instanceLines);
    daemon.signal("SIGCONT");
    await pause(SETTLE_MS);
    return ids.filter(id => mesh.runsOf(id) > 0 && !begun.has(`R ${id}`));
};

/** Asserts that no client's request begins to run after the stall. */
const assertNoneRuns = async (stallCase: Case): Promise<void> => {
    assert.ok(stallCase.stallMs >= LEFT_BOUND_MS);
    await withPlatform(async mesh => {
        const { rounds = ROUNDS } = stallCase;
        const late: string[] = [];
        for (let round = 0; round < rounds; round++) {
            late.push(...await runRound(mesh, round, stallCase));
        }
        assert.deepEqual(late, [], `${late.length} of ${rounds * CLIENTS} requests ran for clients that had left`);
    });
};

const atIngress = { stalled: "fees-1", ingress: "fees-1", rounds: 2 };

// Guards against work for clients that have left (GONE): their daemon passed on what it read after it had not run.
test("stalled: an ingress passes on no GET whose client left while it was stopped", async () => {
    await assertNoneRuns({ ...atIngress, method: "GET", path: "/pages/1", stallMs: 800 });
});

test("stalled: an ingress passes on no POST whose client left while it was stopped", async () => {
    await assertNoneRuns({ ...atIngress, method: "POST", path: "/fees/1", stallMs: 800 });
});

test("stalled: an ingress passes on no GET of a kept connection whose client left while it was stopped", async () => {
    await assertNoneRuns({ ...atIngress, method: "GET", path: "/pages/1", stallMs: 800, isKept: true });
});

test("stalled: an ingress passes on no POST of a kept connection whose client left while it was stopped", async () => {
    await assertNoneRuns({ ...atIngress, method: "POST", path: "/fees/1", stallMs: 2000, isKept: true });
});

/** Sends a request, shuts down the sending side at once, and resolves with what is received. */
const sendAndHalfClose = (ip: string, id: string): Promise<string> =>
    new Promise(resolve => {
        const fields = `host: site.example\r\nattempt-id: ${id}\r\ndeadline-ms: 1000\r\n`;
        let text = "";
        const socket = connect({ host: ip, port: 7104, allowHalfOpen: true });
        socket.on("data", chunk => text += chunk).on("error", () => {}).on("close", () => resolve(text));
        socket.on("end", () => socket.destroy());
        socket.end(`GET /pages/1 HTTP/1.1\r\n${fields}\r\n`);
    });

// A client that has left and one that has only shut down its sending side look the same until something is sent.
test("stalled: a caller that shut down its sending side while its daemon was stopped is served", async () => {
    await withPlatform(async mesh => {
        const daemon = mesh.daemons.get("fees-1")!;
        daemon.signal("SIGSTOP");
        const responses = Array.from(
            { length: HALF_CLOSED_CLIENTS },
            (_, index) => sendAndHalfClose(mesh.host("fees-1").ip, `${index}`),
        );
        await pause(LEFT_BOUND_MS);
        daemon.signal("SIGCONT");
        for (const text of await Promise.all(responses)) {
            assert.match(text, /^HTTP\/1\.1 200 /);
        }
    });
});

// Guards against work for clients that have left (GONE): a gate ran what it read after it had not run.
test("stalled: a gate runs no GET whose client left while it was stopped", async () => {
    await assertNoneRuns({ stalled: "pages-2", ingress: "fees-1", method: "GET", path: "/pages/1", stallMs: 800 });
});

test("stalled: a gate runs no POST whose client left while it was stopped", async () => {
    await assertNoneRuns({ stalled: "fees-2", ingress: "pages-1", method: "POST", path: "/fees/1", stallMs: 800 });
});

// Guards against work for clients that have left (GONE): a response that ended during the stall freed the slot.
test("stalled: a gate grants no slot to a request whose client left while it was stopped", async () => {
    await withPlatform(async mesh => {
        const { ip } = mesh.host("fees-1");
        await mesh.controlInstance("pages-2", { workMs: 2 * LEAVE_AFTER_MS });
        const late: string[] = [];
        for (let round = 0; round < ROUNDS; round++) {
            const ids = Array.from({ length: CLIENTS }, (_, index) => `queued-${round}-${index}`);
            const left = ids.map(id =>
                sendAndAbort({ ip, path: "/pages/1", id, timeLimitMs: 3000 }, 2 * LEAVE_AFTER_MS)
            );
            await pause(LEAVE_AFTER_MS);
            const daemon = mesh.daemons.get("pages-2")!;
            daemon.signal("SIGSTOP");
            await Promise.all(left);
            await pause(LEFT_BOUND_MS);
            const begun = new Set(mesh.instanceLines);
            daemon.signal("SIGCONT");
            await pause(SETTLE_MS);
            late.push(...ids.filter(id => mesh.runsOf(id) > 0 && !begun.has(`R ${id}`)));
        }
        assert.deepEqual(late, []);
    });
});

// Guards against work for clients that have left (GONE): the gate ran again before the ingress had read the leaving.
test("stalled: a gate runs no request of clients that left while their daemon was stopped, too", async () => {
    await withPlatform(async mesh => {
        const { ip } = mesh.host("fees-1");
        const ingress = mesh.daemons.get("fees-1")!;
        const gates = ["pages-1", "pages-2"].map(name => mesh.daemons.get(name)!);
        gates.forEach(daemon => daemon.signal("SIGSTOP"));
        const ids = Array.from({ length: CLIENTS }, (_, index) => `both-${index}`);
        const left = ids.map(id => sendAndAbort({ ip, path: "/pages/1", id, timeLimitMs: 3000 }, 2 * LEAVE_AFTER_MS));
        await pause(LEAVE_AFTER_MS);
        ingress.signal("SIGSTOP");
        await Promise.all(left);
        await pause(LEFT_BOUND_MS);
        gates.forEach(daemon => daemon.signal("SIGCONT"));
        await pause(LEFT_BOUND_MS / 2);
        ingress.signal("SIGCONT");
        await pause(SETTLE_MS);
        assert.deepEqual(ids.filter(id => mesh.runsOf(id) > 0), []);
        const { status } = await mesh.send("fees-1", "GET", "/pages/1", "after");
        assert.equal(status, 200);
    });
});
