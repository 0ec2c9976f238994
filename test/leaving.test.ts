import assert from "node:assert/strict";
import { test } from "node:test";
import { control } from "../demo/control.js";
import type { Mesh } from "../demo/mesh.js";
import { OperatorClient } from "../src/cli/operatorclient.js";
import { pause } from "./pause.js";
import type { PlatformMesh } from "./platformmesh.js";
import { runLoadWithFault } from "./runloadwithfault.js";
import { runPlatformLoad } from "./runplatformload.js";
import { withMesh } from "./withmesh.js";
import { withPlatform } from "./withplatform.js";

const NO_NEW_REQUESTS_AFTER_MS = 3000;
const HOST_LIST_LAG_MS = 500;
/**
 * Service time with which the load exceeds the capacity of one instance, so that all instances that may be used are.
 */
const SATURATING_WORK_MS = 100;
/** Service time with which the load uses both instances, although one alone could serve it. */
const MODERATE_WORK_MS = 30;

const assertLeaves = async (mesh: Mesh, upstream: string, leave: () => Promise<unknown>, lagMs = 0): Promise<void> => {
    let announcedAt = 0;
    await runLoadWithFault(mesh, async () => {
        await pause(1000);
        await leave();
        announcedAt = performance.now() + lagMs;
    }, { seconds: 7 });
    const startTimes = mesh.record.startTimes(upstream);
    assert.ok(startTimes.some(startedAt => startedAt < announcedAt), "the upstream received requests before");
    const lateRequests = startTimes.filter(startedAt => startedAt > announcedAt + NO_NEW_REQUESTS_AFTER_MS);
    assert.deepEqual(lateRequests, [], "no new requests after the bound");
};

test("leaving: an upstream that an operator drains gets no new requests after the bound", async () => {
    await withMesh(mesh => assertLeaves(mesh, "fees-1", () => mesh.cli("drain", "fees-1")));
});

test("leaving: an upstream whose health endpoint alone says that it leaves gets no new requests after the bound", async () => {
    await withMesh(mesh =>
        assertLeaves(mesh, "fees-2", () => control(mesh.host("fees-2").upstream, { leaving: true }))
    );
});

test("leaving: an upstream that the platform's host list shows as leaving gets no new requests after the bound", async () => {
    await withMesh(mesh => {
        const hosts = [{ name: "fees-3", state: "leaving" }];
        return assertLeaves(mesh, "fees-3", () => control(mesh.storeAddress, { hosts }), HOST_LIST_LAG_MS);
    });
});

test("leaving: by silence, a daemon that stands still gets nothing and holds nothing up", async () => {
    await withMesh(async mesh => {
        const frozen = mesh.host("pages-1");
        let frozenAt = 0;
        const { results } = await runLoadWithFault(mesh, async () => {
            await pause(1500);
            mesh.daemons.get(frozen.name)!.signal("SIGSTOP");
            frozenAt = performance.now();
        }, { seconds: 6, ingresses: () => mesh.hosts.filter(host => host !== frozen).map(host => host.ingress) });
        const lateResponses = results.filter(result => !result.once && result.at > frozenAt + NO_NEW_REQUESTS_AFTER_MS);
        assert.ok(lateResponses.length > 0);
        assert.ok(lateResponses.every(result => result.outcome === "answered"));
    });
});

// Guards against requests that wait out their time limit at a gate that has never responded to their ingress, which
// suspected only gates that had responded to a ping before.
test("leaving: by silence, a daemon that stands still holds up no request of one that has just started", async () => {
    await withMesh(async mesh => {
        const started = mesh.host("pages-2");
        mesh.daemons.get("pages-1")!.signal("SIGSTOP");
        await mesh.daemons.get(started.name)!.end("SIGKILL");
        await mesh.startDaemon(started).ready();
        const { results } = await runLoadWithFault(mesh, async () => {}, {
            seconds: 3,
            ingresses: () => [started.ingress],
        });
        const repeatable = results.filter(result => !result.once);
        assert.ok(repeatable.length > 0);
        assert.deepEqual(repeatable.filter(result => result.outcome !== "answered"), []);
    });
});

/**
 * Sends concurrent requests from each host while the upstream begins to leave; resolves with the hosts that forwarded
 * its leaving state.
 */
const startLeavingUnderLoad = async (mesh: PlatformMesh): Promise<string[]> => {
    const forwarding = mesh.hosts.flatMap(({ name }) =>
        Array.from({ length: 3 }, async (_, index) => {
            const { headers } = await mesh.send(name, "GET", "/pages/1", `first-${name}-${index}`);
            return headers["server-leaving"] === "1" ? [name] : [];
        })
    );
    await pause(SATURATING_WORK_MS / 2);
    await mesh.controlInstance("pages-1", { leaving: true });
    return [...new Set((await Promise.all(forwarding)).flat())];
};

// Guards against further requests to an upstream that reports only in its responses that it leaves, also after its
// daemon has restarted.
test("leaving: hosts that forwarded a response in which an upstream says that it leaves send nothing more there", async () => {
    await withPlatform(async mesh => {
        const slowed = ["pages-1", "pages-2"].map(name => mesh.controlInstance(name, { workMs: SATURATING_WORK_MS }));
        await Promise.all(slowed);
        const informedHosts = (await startLeavingUnderLoad(mesh)).filter(name => name !== "pages-1");
        assert.ok(informedHosts.length > 0, "a host other than pages-1 has forwarded the state");
        await runPlatformLoad(mesh, { requestsPerSecond: 150, durationMs: 2000 });
        const arrivals = mesh.instanceLines.filter(line => line.startsWith("V ") && !line.endsWith("health"));
        assert.ok(
            arrivals.length <= mesh.hosts.length,
            `${arrivals.length} requests reached it after it said that it leaves`,
        );
        await mesh.daemons.get("pages-1")!.end("SIGKILL");
        await mesh.startDaemon("pages-1").ready();
        const lineCountAtRestart = mesh.instanceLines.length;
        await runPlatformLoad(mesh, { hostNames: informedHosts, requestsPerSecond: 150, durationMs: 4000 });
        const lateRequests = mesh.instanceLines.slice(lineCountAtRestart).filter(line =>
            line.startsWith("V ") && !line.endsWith("health")
        );
        assert.deepEqual(lateRequests, [], "no requests after the restart of its daemon");
    });
});

test("leaving: where an upstream says in its responses that it leaves, the other instances serve what it does not take", async () => {
    await withPlatform(async mesh => {
        await Promise.all(["pages-1", "pages-2"].map(name => mesh.controlInstance(name, { workMs: MODERATE_WORK_MS })));
        const loadResult = runPlatformLoad(mesh, { requestsPerSecond: 80, durationMs: 4000 });
        await pause(1000);
        await mesh.controlInstance("pages-1", { leaving: true });
        const { sent, served } = await loadResult;
        assert.ok(served >= sent * 0.98, `${served} of ${sent}`);
        const client = new OperatorClient([`${mesh.host("fees-2").ip}:7105`]);
        const status = await client.call(operator => operator.getStatus({}));
        assert.equal(status.upstreams.find(line => line.upstream === "i-pages-1")!.state, "leaving");
    });
});
