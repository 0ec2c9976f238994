import assert from "node:assert/strict";
import { test } from "node:test";
import { control } from "../demo/control.js";
import { runLoad } from "../demo/load.js";
import { loaded } from "./loaded.js";
import { pause } from "./pause.js";
import { withMesh } from "./withmesh.js";

/**
 * A daemon that has just started may send no repeat yet, so that restarts bring no more of them (policy/retry/daemonallowance.ts): of its
 * 20 it has one after half a second, and a second with what callers have asked for by then.
 */
const UNTIL_ONE_REPEAT_MS = 1000;

test("answers: cut, short, doubled, foreign and late ones give no fragment and no other's answer", async () => {
    await withMesh(async mesh => {
        const faults = ["cut", "short", "doubled", "foreign", "late"];
        await Promise.all(
            mesh.hosts.map((host, at) =>
                control(host.upstream, { answerFault: faults[at % faults.length], faultShare: 0.3 })
            ),
        );
        const { told, counts } = await loaded(mesh, async () => {}, { seconds: 5 });
        assert.equal(counts.cut, 0, "a broken answer is a retry or a clean error");
        const pages = told.filter(item => !item.once);
        const answered = pages.filter(item => item.word === "answered");
        assert.ok(answered.length > pages.length * 0.9, "repeatable requests are retried");
    });
});

test("answers: bytes past the announced length reach no caller", async () => {
    await withMesh(async mesh => {
        await Promise.all(mesh.hosts.map(host => control(host.upstream, { answerFault: "long", faultShare: 0.3 })));
        const seconds = 3;
        const ingresses = (): string[] => mesh.hosts.map(host => host.ingress);
        const told = await runLoad(mesh.spec, { seed: 5, seconds, ratePerSecond: 150, ingresses });
        const answered = told.filter(item => item.word === "answered" && !item.wrong);
        assert.ok(answered.length > told.length / 2);
        assert.ok(told.every(item => item.foreign !== true), "no caller gets another's bytes");
        assert.ok([...mesh.daemons.values()].every(child => child.running));
    });
});

test("answers: a 503 that says it did not run is tried elsewhere, one that does not is passed on", async () => {
    await withMesh(async mesh => {
        await pause(UNTIL_ONE_REPEAT_MS);
        await control(mesh.host("fees-1").upstream, { shed: "said" });
        const said = await loaded(mesh, async () => {}, { seconds: 2 });
        assert.equal(said.counts.answered, said.counts.sent);
        assert.ok(said.told.every(item => item.status === 200));
        await control(mesh.host("fees-1").upstream, { shed: "unsaid" });
        const unsaid = await loaded(mesh, async () => {}, { seconds: 2, seed: 12 });
        const passed = unsaid.told.filter(item => item.once && item.status === 503);
        assert.ok(passed.length > 0, "a payment that may have run is not sent again");
    });
});
