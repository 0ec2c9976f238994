import assert from "node:assert/strict";
import { test } from "node:test";
import { control } from "../demo/control.js";
import { loaded } from "./loaded.js";
import { pause } from "./pause.js";
import { withMesh } from "./withmesh.js";

const LONGER_THAN_ALL_MS = 3500;

test("freeze: a daemon sleeps past every deadline, wakes, and dispatches nothing stale", async () => {
    await withMesh(async mesh => {
        const gate = mesh.host("fees-1");
        const others = (): string[] => mesh.hosts.filter(host => host !== gate).map(host => host.ingress);
        await control(gate.upstream, { meanMs: 60 });
        let wokeAt = 0;
        const { told } = await loaded(mesh, async () => {
            await pause(1000);
            mesh.daemons.get(gate.name)!.signal("SIGSTOP");
            await pause(LONGER_THAN_ALL_MS);
            wokeAt = performance.now();
            mesh.daemons.get(gate.name)!.signal("SIGCONT");
            await pause(500);
        }, { seconds: 6, rate: 200, ingresses: others });
        const settled = told.filter(item => item.once && item.word !== "answered" && item.at + item.ms < wokeAt);
        const ranLate = settled.filter(item => mesh.record.startedAfter(item.id, wokeAt));
        assert.deepEqual(ranLate, [], "what was told to callers before the wake does not start after it");
    });
});

test("freeze: an ingress sleeps with requests queued elsewhere, twice", async () => {
    await withMesh(async mesh => {
        const ingress = mesh.host("pages-2");
        await control(mesh.host("fees-1").upstream, { meanMs: 40 });
        await loaded(mesh, async () => {
            for (let time = 0; time < 2; time++) {
                await pause(700);
                mesh.daemons.get(ingress.name)!.signal("SIGSTOP");
                await pause(1500);
                mesh.daemons.get(ingress.name)!.signal("SIGCONT");
            }
        }, { seconds: 5 });
    });
});
