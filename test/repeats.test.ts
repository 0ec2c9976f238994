import assert from "node:assert/strict";
import { test } from "node:test";
import { control } from "../demo/control.js";
import type { Mesh } from "../demo/mesh.js";
import { readMetric } from "../demo/readmetric.js";
import { runLoad } from "../demo/runload.js";
import { chainMesh } from "./chainmesh.js";
import { withMesh } from "./withmesh.js";

/** All daemons together may send `REPEAT_RATIO` repeats per request within the window, and `REPEAT_SLACK` more. */
const REPEAT_RATIO = 0.2;
const REPEAT_SLACK = 60;
const WINDOW_MS = 10_000;
const BOUNDED_REPEATS = {
    policy: { profile: "responsive", repeats: { ratio: REPEAT_RATIO, slack: REPEAT_SLACK, windowS: WINDOW_MS / 1000 } },
};

const sendLoad = (mesh: Mesh, seconds: number, ratePerSecond: number): ReturnType<typeof runLoad> =>
    runLoad(mesh.spec, { seed: 3, seconds, ratePerSecond, ingresses: () => mesh.hosts.map(host => host.ingress) });

const countArrivals = async (mesh: Mesh, label: string): Promise<number> => {
    const counts = await Promise.all(
        mesh.operators.map(operator => readMetric(operator, "winglock_upstream_arrivals_total", label)),
    );
    return counts.reduce((sum, count) => sum + count, 0);
};

const assertRepeatsWithinBound = (mesh: Mesh, service: string): void => {
    const { beyond, requests } = mesh.record.worstRepeats(name => name.startsWith(service), WINDOW_MS);
    const allowed = REPEAT_RATIO * requests + REPEAT_SLACK;
    assert.ok(beyond <= allowed, `${beyond} repeats of ${requests} requests, allowed ${allowed}`);
};

test("repeats: the daemons count all arrivals at the upstreams, and label the calls of repeated runs", async () => {
    const spec = { ...chainMesh, services: chainMesh.services.slice(0, 2) };
    await withMesh(
        async mesh => {
            for (const host of mesh.hosts.filter(({ name }) => name.startsWith("level1"))) {
                await control(host.upstream, {
                    next: `${host.ingress}/chain/level2`,
                    answerFault: "cut",
                    faultShare: 0.3,
                });
            }
            const results = await sendLoad(mesh, 4, 50);
            const serviceLabel = (name: string): string => `service="${name}"`;
            for (const name of ["level1", "level2"]) {
                const { beyond } = mesh.record.worstRepeats(upstream => upstream.startsWith(name), WINDOW_MS);
                assert.equal(await countArrivals(mesh, `${serviceLabel(name)},arrival="first"`), results.length);
                assert.equal(await countArrivals(mesh, serviceLabel(name)), results.length + beyond);
                assert.ok(beyond > 10, `${name}: ${beyond}`);
            }
            assert.ok(await countArrivals(mesh, `${serviceLabel("level2")},arrival="call"`) > 10);
        },
        {},
        { ...spec, rules: chainMesh.rules.slice(0, 2) },
    );
});

test("repeats: upstreams that shed receive no more repeats than the bound on all daemons together", async () => {
    await withMesh(async mesh => {
        const shedding = mesh.hosts.filter(({ name }) => name.startsWith("fees"));
        await Promise.all(shedding.map(({ upstream }) => control(upstream, { shed: "said", shedShare: 0.8 })));
        await sendLoad(mesh, 8, 150);
        assertRepeatsWithinBound(mesh, "fees");
    }, { settings: BOUNDED_REPEATS });
});
