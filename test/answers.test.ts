import assert from "node:assert/strict";
import { test } from "node:test";
import { control } from "../demo/control.js";
import { runLoad } from "../demo/runload.js";
import { pause } from "./pause.js";
import { runLoadWithFault } from "./runloadwithfault.js";
import { withMesh } from "./withmesh.js";

/**
 * Time from the start of a daemon until it may send repeats. Its allowance grows with its uptime, so that restarts add
 * no repeats (src/policy/retry/daemonallowance.ts): it has one of its 20 after half a second, and a second one together
 * with the share that it earns from the requests received by then.
 */
const FIRST_REPEATS_AFTER_MS = 1000;

test("answers: cut, short, doubled, foreign and late responses give no fragment and no foreign response", async () => {
    await withMesh(async mesh => {
        const faults = ["cut", "short", "doubled", "foreign", "late"];
        await Promise.all(
            mesh.hosts.map((host, index) =>
                control(host.upstream, { answerFault: faults[index % faults.length], faultShare: 0.3 })
            ),
        );
        const { results, counts } = await runLoadWithFault(mesh, async () => {}, { seconds: 5 });
        assert.equal(counts.cut, 0, "a broken response leads to a retry or to a clean error");
        const pages = results.filter(result => !result.once);
        const answered = pages.filter(result => result.outcome === "answered");
        assert.ok(answered.length > pages.length * 0.9, "repeatable requests are retried");
    });
});

test("answers: bytes beyond the announced content length reach no caller", async () => {
    await withMesh(async mesh => {
        await Promise.all(mesh.hosts.map(host => control(host.upstream, { answerFault: "long", faultShare: 0.3 })));
        const seconds = 3;
        const ingresses = (): string[] => mesh.hosts.map(host => host.ingress);
        const results = await runLoad(mesh.spec, { seed: 5, seconds, ratePerSecond: 150, ingresses });
        const answered = results.filter(result => result.outcome === "answered" && !result.wrong);
        assert.ok(answered.length > results.length / 2);
        assert.ok(results.every(result => result.foreign !== true), "no caller receives bytes of another response");
        assert.ok([...mesh.daemons.values()].every(child => child.running));
    });
});

test("answers: a 503 that reports 'not run' is retried elsewhere, any other reaches the caller", async () => {
    await withMesh(async mesh => {
        await pause(FIRST_REPEATS_AFTER_MS);
        await control(mesh.host("fees-1").upstream, { shed: "said" });
        const reported = await runLoadWithFault(mesh, async () => {}, { seconds: 2 });
        assert.equal(reported.counts.answered, reported.counts.sent);
        assert.ok(reported.results.every(result => result.status === 200));
        await control(mesh.host("fees-1").upstream, { shed: "unsaid" });
        const unreported = await runLoadWithFault(mesh, async () => {}, { seconds: 2, seed: 12 });
        const returned = unreported.results.filter(result => result.once && result.status === 503);
        assert.ok(returned.length > 0, "a payment that may have run is not repeated");
    });
});
