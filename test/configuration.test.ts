import assert from "node:assert/strict";
import { test } from "node:test";
import { control } from "../demo/control.js";
import type { Mesh } from "../demo/mesh.js";
import { eventually } from "./eventually.js";
import { pause } from "./pause.js";
import { readRevisions } from "./readrevisions.js";
import { withMesh } from "./withmesh.js";

const waitForRevision = (mesh: Mesh, revision: number): Promise<void> =>
    eventually(`all daemons have revision ${revision}`, async () => {
        const current = [...(await readRevisions(mesh)).values()];
        return current.length === mesh.hosts.length && current.every(other => other === revision);
    });

test("configuration: a change takes effect on all daemons, and a lost response can be resolved", async () => {
    await withMesh(async mesh => {
        await waitForRevision(mesh, 1);
        await control(mesh.storeAddress, { loseAnswers: 1 });
        const lost = await mesh.cli("service", "update", "pages", "--max-wait-ms", "300", "--change-id", "lost-1");
        assert.equal(lost.code, 0, lost.stderr);
        const resolved = await mesh.cli("resolve", "lost-1");
        assert.match(resolved.stdout, /accepted as revision 2/);
        await waitForRevision(mesh, 2);
    });
});

test("configuration: of two concurrent changes one is accepted, and the other operator is notified", async () => {
    await withMesh(async mesh => {
        const race = await Promise.all(
            ["250", "350"].map((ms, index) =>
                mesh.cli(
                    "service",
                    "update",
                    "pages",
                    "--max-wait-ms",
                    ms,
                    "--base",
                    "1",
                    "--change-id",
                    `race-${index}`,
                )
            ),
        );
        assert.deepEqual(race.map(({ code }) => code).sort(), [0, 3]);
        const loser = race.find(({ code }) => code === 3)!;
        assert.match(loser.stderr, /change race-\d made revision 2/);
        await waitForRevision(mesh, 2);
    });
});

test("configuration: while the store is down, no change is accepted, lost or reverted", async () => {
    await withMesh(async mesh => {
        await mesh.cli("drain", "pages-1");
        await waitForRevision(mesh, 2);
        await control(mesh.storeAddress, { down: true });
        const refused = await mesh.cli("undrain", "pages-1");
        assert.equal(refused.code, 1);
        assert.match(refused.stderr, /not applied/);
        const host = mesh.host("fees-1");
        await mesh.daemons.get(host.name)!.end("SIGKILL");
        await mesh.startDaemon(host).ready();
        assert.equal(
            (await readRevisions(mesh)).get(host.name),
            2,
            "a restarted daemon receives the revision from its peers",
        );
        await control(mesh.storeAddress, { down: false });
        await eventually("the change is accepted", async () => (await mesh.cli("undrain", "pages-1")).code === 0);
        await waitForRevision(mesh, 3);
    });
});

test("configuration: suspended watchers and a store that has lost its data do not revert a change", async () => {
    await withMesh(async mesh => {
        await mesh.cli("drain", "pages-1");
        await waitForRevision(mesh, 2);
        const suspended = mesh.hosts.slice(0, 3);
        suspended.forEach(host => mesh.daemons.get(host.name)!.signal("SIGSTOP"));
        await pause(500);
        const { code } = await mesh.cli("drain", "fees-1", "--daemon", mesh.hosts[4]!.operator);
        assert.equal(code, 0);
        await mesh.store!.end("SIGKILL");
        await mesh.startStore().ready();
        suspended.forEach(host => mesh.daemons.get(host.name)!.signal("SIGCONT"));
        await waitForRevision(mesh, 3);
        await pause(1500);
        await waitForRevision(mesh, 3);
    });
});

test("configuration: the rate of calls to the store is bounded per hall", async () => {
    await withMesh(async mesh => {
        await pause(6000);
        const before = await countStoreCalls(mesh);
        await pause(4000);
        const perSecond = (await countStoreCalls(mesh) - before) / 4;
        assert.ok(perSecond <= 3 * 2 * 2, `${perSecond} calls per second for 3 halls with 2 watchers each`);
    });
});

const countStoreCalls = async (mesh: Mesh): Promise<number> => {
    const res = await fetch(`http://${mesh.storeAddress}/counts`);
    const { reads, writes, watches } = await res.json() as { reads: number; writes: number; watches: number; };
    return reads + writes + watches;
};

test("configuration: a daemon still uses its local upstream after the upstream's slots have changed", async () => {
    await withMesh(async mesh => {
        const host = mesh.host("pages-1");
        const requestPage = async (): Promise<number> => (await fetch(`http://${host.ingress}/pages/1`)).status;
        await mesh.cli("drain", "pages-2");
        await mesh.cli("drain", "pages-3");
        await waitForRevision(mesh, 3);
        assert.equal(await requestPage(), 200);
        const { code } = await mesh.cli("upstream", "update", "pages-1", "--slots", "2");
        assert.equal(code, 0);
        await waitForRevision(mesh, 4);
        assert.equal(await requestPage(), 200);
    });
});
