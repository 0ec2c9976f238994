/**
 * Guards against a request that crashes every instance that runs it, while callers repeat it at all hosts.
 *
 * In one case 33 instances of a service crashed within 70 s, 13 of them under the same request, and two thirds of the
 * service's callers were not served. Each repeat was placed like any other request, and an attempt that a crash cut off
 * was retried at another instance: daemons kept records of crashed instances, but not of the requests that these were
 * running. The daemons' log lines about crashed instances name the same request each time.
 */
import assert from "node:assert/strict";
import { test, type TestContext } from "node:test";
import type { Mesh } from "../demo/mesh.js";
import { CrashMesh } from "./crashmesh.js";
import { eventually } from "./eventually.js";
import { pause } from "./pause.js";
import { restartOnExit } from "./restartonexit.js";
import { sendPeriodically } from "./sendperiodically.js";
import { withMesh } from "./withmesh.js";

/**
 * The operators' bound: from this time after the third crash on, connected daemons send the request to at most three
 * more instances.
 */
const QUARANTINE_BOUND_MS = 3000;
const MAX_RUNS_AFTER_BOUND = 3;
/** Long enough for many crashes if instances still received the request. */
const OBSERVATION_MS = 6000;
const REQUEST_INTERVAL_MS = 100;

/** Sends the request until it has crashed three instances, and then until the bound has passed. */
const sendUntilQuarantined = async (crashMesh: CrashMesh): Promise<void> => {
    await crashMesh.sendFor(QUARANTINE_BOUND_MS);
    assert.ok(crashMesh.crashCount >= 3, `${crashMesh.crashCount} instances have crashed`);
    await crashMesh.sendFor(QUARANTINE_BOUND_MS);
};

/** Continues to send the request, and asserts that instances run it at most `maxRuns` times more. */
const assertQuarantined = async (crashMesh: CrashMesh, t: TestContext, maxRuns = 0): Promise<void> => {
    const runsBefore = crashMesh.runCount;
    await crashMesh.sendFor(OBSERVATION_MS);
    const newRuns = crashMesh.runCount - runsBefore;
    const summary = `sent to instances ${newRuns} times more, ${crashMesh.crashCount} crashes in all`;
    t.diagnostic(summary);
    assert.ok(newRuns <= maxRuns, summary);
};

test("crashing: a request that has crashed three instances reaches at most three more after the bound, whichever host receives it", async t => {
    await CrashMesh.with(async crashMesh => {
        await sendUntilQuarantined(crashMesh);
        await assertQuarantined(crashMesh, t, MAX_RUNS_AFTER_BOUND);
        const lastResponses = crashMesh.responses.slice(-20);
        assert.ok(
            lastResponses.every(({ status }) => status === 503),
            "its callers receive the response that it has not run",
        );
        assert.ok(lastResponses.every(({ id }) => crashMesh.mesh.runsOf(id) === 0), "no instance has run it");
    });
});

test("crashing: other requests of the service are served while the crashing one keeps arriving", async t => {
    await CrashMesh.with(async crashMesh => {
        await sendUntilQuarantined(crashMesh);
        await pause(QUARANTINE_BOUND_MS);
        const sending = crashMesh.sendFor(OBSERVATION_MS / 2);
        const counts = await crashMesh.countServed(OBSERVATION_MS / 2);
        await sending;
        t.diagnostic(`${counts.served} of ${counts.sent} served`);
        assert.equal(counts.served, counts.sent);
    });
});

test("crashing: daemons that all restart at once learn of the quarantine from the store", async t => {
    await CrashMesh.with(async crashMesh => {
        await sendUntilQuarantined(crashMesh);
        const hostNames = crashMesh.mesh.hosts.map(host => host.name);
        await Promise.all(hostNames.map(name => crashMesh.mesh.daemons.get(name)!.end("SIGKILL")));
        await Promise.all(hostNames.map(name => crashMesh.mesh.startDaemon(name).ready()));
        await pause(QUARANTINE_BOUND_MS);
        await assertQuarantined(crashMesh, t);
    });
});

test("crashing: the quarantine holds while the store is down, also at daemons that have restarted or been suspended", async t => {
    await CrashMesh.with(async crashMesh => {
        const { mesh } = crashMesh;
        await mesh.controlStore({ down: true });
        mesh.daemons.get("fees-1")!.signal("SIGSTOP");
        await sendUntilQuarantined(crashMesh);
        mesh.daemons.get("fees-1")!.signal("SIGCONT");
        await mesh.daemons.get("pages-1")!.end("SIGKILL");
        await mesh.startDaemon("pages-1").ready();
        await pause(QUARANTINE_BOUND_MS);
        await assertQuarantined(crashMesh, t);
        await mesh.controlStore({ down: false });
    });
});

test("crashing: a frequent request is served again after three instances crashed at once for another reason while running it", async () => {
    await CrashMesh.with(async ({ mesh }) => {
        const pagesHosts = mesh.hosts.filter(host => host.service === "pages").map(host => host.name);
        const sendAll = (): Promise<{ readonly status: number; }[]> =>
            Promise.all(mesh.hosts.map(({ name }) => mesh.send(name, "GET", "/pages/1", "often", 2000)));
        await eventually("all daemons serve it", async () => (await sendAll()).every(({ status }) => status === 200));
        await Promise.all(pagesHosts.map(name => mesh.controlInstance(name, { workMs: 300 })));
        const inFlight = sendAll();
        await pause(150);
        await Promise.all(pagesHosts.slice(0, 3).map(name => mesh.instances.get(name)!.end("SIGKILL")));
        await inFlight;
        await mesh.controlInstance(pagesHosts[3]!, { workMs: 5 });
        await eventually(
            "it is served again",
            async () => (await sendAll()).every(({ status }) => status === 200),
            5000,
        );
    });
});

test("crashing: a request that may run only once is refused too, and is reported as not run only if it has not run", async () => {
    await CrashMesh.with(async crashMesh => {
        for (let index = 0; index < 12; index++) {
            await crashMesh.send(crashMesh.mesh.hosts[index % crashMesh.mesh.hosts.length]!.name);
            await pause(400);
        }
        assert.equal(crashMesh.crashCount, 3);
        crashMesh.responses.forEach(({ id, status }) => {
            assert.ok(crashMesh.mesh.runsOf(id) <= 1, `${id} ran more than once`);
            assert.ok(status !== 503 || crashMesh.mesh.runsOf(id) === 0, `${id} is reported as not run, but ran`);
        });
        assert.equal(crashMesh.responses.at(-1)!.status, 503);
    }, "fees");
});

/** Restarts each upstream of `pages` a while after it has crashed; resolves when `isOver` returns true. */
const restartCrashedUpstreams = async (mesh: Mesh, onEnd: () => void, isOver: () => boolean): Promise<void> => {
    const hosts = mesh.hosts.filter(host => host.service === "pages");
    await Promise.all(hosts.map(host =>
        restartOnExit({
            isRunning: () => mesh.upstreams.get(host.name)!.running,
            restart: () => mesh.startUpstream(host).ready(),
            onEnd,
            isOver,
        })
    ));
};

const statusOf = async (ingress: string, path: string): Promise<number> => {
    const res = await fetch(`http://${ingress}${path}`);
    await res.text();
    return res.status;
};

/** Sends the crashing request from all hosts in turn; resolves with the statuses of the responses. */
const sendCrashingRequests = (mesh: Mesh, durationMs: number): Promise<number[]> =>
    sendPeriodically(
        durationMs,
        REQUEST_INTERVAL_MS,
        index => statusOf(mesh.hosts[index % mesh.hosts.length]!.ingress, "/pages/crash"),
    );

test("crashing: the quarantine holds where the configuration document names the upstreams, which restart under the same names", async t => {
    await withMesh(async mesh => {
        let crashCount = 0;
        let isOver = false;
        const restarting = restartCrashedUpstreams(mesh, () => crashCount += 1, () => isOver);
        try {
            await sendCrashingRequests(mesh, QUARANTINE_BOUND_MS * 2);
            const countBefore = crashCount;
            const statuses = await sendCrashingRequests(mesh, QUARANTINE_BOUND_MS);
            t.diagnostic(`${countBefore} crashes, ${crashCount - countBefore} later`);
            assert.ok(
                countBefore >= 3 && crashCount === countBefore,
                `${countBefore} crashes, ${crashCount - countBefore} later`,
            );
            assert.deepEqual([...new Set(statuses)], [503]);
            const otherStatuses = await Promise.all(mesh.hosts.map(({ ingress }) => statusOf(ingress, "/pages/1")));
            assert.deepEqual([...new Set(otherStatuses)], [200]);
        }
        finally {
            isOver = true;
            await restarting;
        }
    }, { direct: true });
});
