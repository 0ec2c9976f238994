import assert from "node:assert/strict";
import { test } from "node:test";
import { control } from "../demo/control.js";
import { pause } from "./pause.js";
import { runLoadWithFault } from "./runloadwithfault.js";
import { withMesh } from "./withmesh.js";

/** Longer than the time limit of each request in the load. */
const FREEZE_MS = 3500;

test("freeze: a daemon sleeps past every deadline, wakes, and dispatches nothing stale", async () => {
    await withMesh(async mesh => {
        const gate = mesh.host("fees-1");
        const others = (): string[] => mesh.hosts.filter(host => host !== gate).map(host => host.ingress);
        await control(gate.upstream, { meanMs: 60 });
        let resumedAt = 0;
        const { results } = await runLoadWithFault(mesh, async () => {
            await pause(1000);
            mesh.daemons.get(gate.name)!.signal("SIGSTOP");
            await pause(FREEZE_MS);
            resumedAt = performance.now();
            mesh.daemons.get(gate.name)!.signal("SIGCONT");
            await pause(500);
        }, { seconds: 6, rate: 200, ingresses: others });
        const endedBefore = results.filter(result =>
            result.once && result.outcome !== "answered" && result.at + result.latencyMs < resumedAt
        );
        const startedAfter = endedBefore.filter(result => mesh.record.startedAfter(result.id, resumedAt));
        assert.deepEqual(startedAfter, [], "no request starts after the resume whose caller had a response before it");
    });
});

test("freeze: an ingress sleeps with requests queued elsewhere, twice", async () => {
    await withMesh(async mesh => {
        const ingress = mesh.host("pages-2");
        await control(mesh.host("fees-1").upstream, { meanMs: 40 });
        await runLoadWithFault(mesh, async () => {
            for (let round = 0; round < 2; round++) {
                await pause(700);
                mesh.daemons.get(ingress.name)!.signal("SIGSTOP");
                await pause(1500);
                mesh.daemons.get(ingress.name)!.signal("SIGCONT");
            }
        }, { seconds: 5 });
    });
});
