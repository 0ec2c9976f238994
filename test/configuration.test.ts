import assert from "node:assert/strict";
import { test } from "node:test";
import { control } from "../demo/control.js";
import type { Mesh } from "../demo/mesh.js";
import { eventually } from "./eventually.js";
import { pause } from "./pause.js";
import { revisions } from "./revisions.js";
import { withMesh } from "./withmesh.js";

const allAt = (mesh: Mesh, revision: number): Promise<void> =>
    eventually(`all at revision ${revision}`, async () => {
        const found = [...(await revisions(mesh)).values()];
        return found.length === mesh.hosts.length && found.every(at => at === revision);
    });

test("configuration: in force everywhere, and a lost answer is resolved", async () => {
    await withMesh(async mesh => {
        await allAt(mesh, 1);
        await control(mesh.storeAddress, { loseAnswers: 1 });
        const lost = await mesh.cli("service", "update", "pages", "--max-wait-ms", "300", "--change-id", "lost-1");
        assert.equal(lost.code, 0, lost.stderr);
        const resolved = await mesh.cli("resolve", "lost-1");
        assert.match(resolved.stdout, /accepted as revision 2/);
        await allAt(mesh, 2);
    });
});

test("configuration: of racing operators one wins, the other learns of it", async () => {
    await withMesh(async mesh => {
        const race = await Promise.all(
            ["250", "350"].map((ms, at) =>
                mesh.cli("service", "update", "pages", "--max-wait-ms", ms, "--base", "1", "--change-id", `race-${at}`)
            ),
        );
        assert.deepEqual(race.map(({ code }) => code).sort(), [0, 3]);
        const loser = race.find(({ code }) => code === 3)!;
        assert.match(loser.stderr, /change race-\d made revision 2/);
        await allAt(mesh, 2);
    });
});

test("configuration: with the store down nothing is accepted, lost or turned back", async () => {
    await withMesh(async mesh => {
        await mesh.cli("drain", "pages-1");
        await allAt(mesh, 2);
        await control(mesh.storeAddress, { down: true });
        const refused = await mesh.cli("undrain", "pages-1");
        assert.equal(refused.code, 1);
        assert.match(refused.stderr, /not applied/);
        const host = mesh.host("fees-1");
        await mesh.daemons.get(host.name)!.end("SIGKILL");
        await mesh.startDaemon(host).ready();
        assert.equal((await revisions(mesh)).get(host.name), 2, "a new daemon has it from its peers");
        await control(mesh.storeAddress, { down: false });
        await eventually("the change is taken", async () => (await mesh.cli("undrain", "pages-1")).code === 0);
        await allAt(mesh, 3);
    });
});

test("configuration: a watcher that sleeps and a store that lost everything turn nothing back", async () => {
    await withMesh(async mesh => {
        await mesh.cli("drain", "pages-1");
        await allAt(mesh, 2);
        const sleepers = mesh.hosts.slice(0, 3);
        sleepers.forEach(host => mesh.daemons.get(host.name)!.signal("SIGSTOP"));
        await pause(500);
        const { code } = await mesh.cli("drain", "fees-1", "--daemon", mesh.hosts[4]!.operator);
        assert.equal(code, 0);
        await mesh.store!.end("SIGKILL");
        await mesh.startStore().ready();
        sleepers.forEach(host => mesh.daemons.get(host.name)!.signal("SIGCONT"));
        await allAt(mesh, 3);
        await pause(1500);
        await allAt(mesh, 3);
    });
});

test("configuration: calls on the store stay bounded by hall", async () => {
    await withMesh(async mesh => {
        await pause(6000);
        const before = await storeCalls(mesh);
        await pause(4000);
        const perSecond = (await storeCalls(mesh) - before) / 4;
        assert.ok(perSecond <= 3 * 2 * 2, `${perSecond} calls a second for 3 halls of 2 watchers`);
    });
});

const storeCalls = async (mesh: Mesh): Promise<number> => {
    const res = await fetch(`http://${mesh.storeAddress}/counts`);
    const { reads, writes, watches } = await res.json() as { reads: number; writes: number; watches: number; };
    return reads + writes + watches;
};

test("configuration: an upstream whose slots change is still served by its own daemon", async () => {
    await withMesh(async mesh => {
        const host = mesh.host("pages-1");
        const get = async (): Promise<number> => (await fetch(`http://${host.ingress}/pages/1`)).status;
        await mesh.cli("drain", "pages-2");
        await mesh.cli("drain", "pages-3");
        await allAt(mesh, 3);
        assert.equal(await get(), 200);
        const { code } = await mesh.cli("upstream", "update", "pages-1", "--slots", "2");
        assert.equal(code, 0);
        await allAt(mesh, 4);
        assert.equal(await get(), 200);
    });
});
