import assert from "node:assert/strict";
import { test } from "node:test";
import { control } from "../demo/control.js";
import type { Mesh } from "../demo/mesh.js";
import { OperatorClient } from "../src/cli/operatorclient.js";
import { loaded } from "./loaded.js";
import { pause } from "./pause.js";
import { platformLoad } from "./runplatformload.js";
import type { PlatformMesh } from "./platformmesh.js";
import { withMesh } from "./withmesh.js";
import { withPlatform } from "./withplatform.js";

const BOUND_MS = 3000;
const LIST_LAG_MS = 500;
/** Work of this many milliseconds is more than one instance serves under the load, so that any other that may be sent some is. */
const FULL_MS = 100;
/** With work of this many milliseconds both are used, and one alone would do. */
const BUSY_MS = 30;

const checkLeaves = async (mesh: Mesh, upstream: string, leave: () => Promise<unknown>, lagMs = 0): Promise<void> => {
    let signAt = 0;
    await loaded(mesh, async () => {
        await pause(1000);
        await leave();
        signAt = performance.now() + lagMs;
    }, { seconds: 7 });
    const starts = mesh.record.startsAt(upstream);
    assert.ok(starts.some(at => at < signAt), "it had work before");
    const late = starts.filter(at => at > signAt + BOUND_MS);
    assert.deepEqual(late, [], "no new work after the bound");
};

test("leaving: by the operator's call", async () => {
    await withMesh(mesh => checkLeaves(mesh, "fees-1", () => mesh.cli("drain", "fees-1")));
});

test("leaving: by the upstream's word, given only by its health endpoint", async () => {
    await withMesh(mesh => checkLeaves(mesh, "fees-2", () => control(mesh.host("fees-2").upstream, { leaving: true })));
});

test("leaving: by the platform's list", async () => {
    await withMesh(mesh => {
        const hosts = [{ name: "fees-3", state: "leaving" }];
        return checkLeaves(mesh, "fees-3", () => control(mesh.storeAddress, { hosts }), LIST_LAG_MS);
    });
});

test("leaving: by silence, a daemon that stands still gets nothing and holds nothing up", async () => {
    await withMesh(async mesh => {
        const frozen = mesh.host("pages-1");
        let at = 0;
        const { told } = await loaded(mesh, async () => {
            await pause(1500);
            mesh.daemons.get(frozen.name)!.signal("SIGSTOP");
            at = performance.now();
        }, { seconds: 6, ingresses: () => mesh.hosts.filter(host => host !== frozen).map(host => host.ingress) });
        const pages = told.filter(item => !item.once && item.at > at + BOUND_MS);
        assert.ok(pages.length > 0);
        assert.ok(pages.every(item => item.word === "answered"));
    });
});

/** Sends some at once at each host while the upstream begins to leave; resolves with the hosts that have passed its word on. */
const passOnLeaving = async (mesh: PlatformMesh): Promise<string[]> => {
    const told = mesh.hosts.flatMap(({ name }) =>
        Array.from({ length: 3 }, async (_, at) => {
            const { headers } = await mesh.send(name, "GET", "/pages/1", `first-${name}-${at}`);
            return headers["server-leaving"] === "1" ? [name] : [];
        })
    );
    await pause(FULL_MS / 2);
    await mesh.strikeInstance("pages-1", { leaving: true });
    return [...new Set((await Promise.all(told)).flat())];
};

// Guards against sending on to an upstream that says only in its answers that it leaves, also where the daemon beside it has started again since.
test("leaving: by the word in an upstream's answers alone, hosts that passed it on send nothing there any more", async () => {
    await withPlatform(async mesh => {
        const slow = ["pages-1", "pages-2"].map(name => mesh.strikeInstance(name, { workMs: FULL_MS }));
        await Promise.all(slow);
        const told = (await passOnLeaving(mesh)).filter(name => name !== "pages-1");
        assert.ok(told.length > 0, "somebody has passed it on");
        await platformLoad(mesh, { perSecond: 150, forMs: 2000 });
        const arrived = mesh.runs.filter(line => line.startsWith("V ") && !line.endsWith("health"));
        assert.ok(arrived.length <= mesh.hosts.length, `${arrived.length} were sent to it after its word`);
        await mesh.daemons.get("pages-1")!.end("SIGKILL");
        await mesh.startDaemon("pages-1").ready();
        const restartedAt = mesh.runs.length;
        await platformLoad(mesh, { hosts: told, perSecond: 150, forMs: 4000 });
        const late = mesh.runs.slice(restartedAt).filter(line => line.startsWith("V ") && !line.endsWith("health"));
        assert.deepEqual(late, [], "none after its daemon's start");
    });
});

test("leaving: where an upstream says so in its answers, the others serve all that it does not take", async () => {
    await withPlatform(async mesh => {
        await Promise.all(["pages-1", "pages-2"].map(name => mesh.strikeInstance(name, { workMs: BUSY_MS })));
        const loaded = platformLoad(mesh, { perSecond: 80, forMs: 4000 });
        await pause(1000);
        await mesh.strikeInstance("pages-1", { leaving: true });
        const { sent, served } = await loaded;
        assert.ok(served >= sent * 0.98, `${served} of ${sent}`);
        const client = new OperatorClient([`${mesh.host("fees-2").ip}:7105`]);
        const status = await client.call(operator => operator.getStatus({}));
        assert.equal(status.upstreams.find(line => line.upstream === "i-pages-1")!.state, "leaving");
    });
});
