import assert from "node:assert/strict";
import { test } from "node:test";
import { control } from "../demo/control.js";
import { runLoad } from "../demo/load.js";
import type { Mesh } from "../demo/mesh.js";
import { readMetric } from "../demo/readmetric.js";
import { chainMesh } from "./chainmesh.js";
import { withMesh } from "./withmesh.js";

/** What all daemons together may send beyond the first arrivals: of the requests, and besides. */
const RATIO = 0.2;
const SLACK = 60;
const WINDOW_MS = 10_000;
const BOUNDED = {
    policy: { profile: "responsive", repeats: { ratio: RATIO, slack: SLACK, windowS: WINDOW_MS / 1000 } },
};

const load = (mesh: Mesh, seconds: number, ratePerSecond: number): ReturnType<typeof runLoad> =>
    runLoad(mesh.spec, { seed: 3, seconds, ratePerSecond, ingresses: () => mesh.hosts.map(host => host.ingress) });

const arrivals = async (mesh: Mesh, label: string): Promise<number> => {
    const counts = await Promise.all(
        mesh.operators.map(operator => readMetric(operator, "winglock_upstream_arrivals_total", label)),
    );
    return counts.reduce((sum, count) => sum + count, 0);
};

const assertWithinBound = (mesh: Mesh, service: string): void => {
    const { beyond, requests } = mesh.record.worstBeyondFirst(name => name.startsWith(service), WINDOW_MS);
    const allowed = RATIO * requests + SLACK;
    assert.ok(beyond <= allowed, `${beyond} beyond the first of ${requests}, allowed ${allowed}`);
};

test("repeats: the daemons count what the upstreams received, and the calls of repeated runs as such", async () => {
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
            const told = await load(mesh, 4, 50);
            const service = (name: string): string => `service="${name}"`;
            for (const name of ["level1", "level2"]) {
                const { beyond } = mesh.record.worstBeyondFirst(host => host.startsWith(name), WINDOW_MS);
                assert.equal(await arrivals(mesh, `${service(name)},arrival="first"`), told.length);
                assert.equal(await arrivals(mesh, service(name)), told.length + beyond);
                assert.ok(beyond > 10, `${name}: ${beyond}`);
            }
            assert.ok(await arrivals(mesh, `${service("level2")},arrival="call"`) > 10);
        },
        {},
        { ...spec, rules: chainMesh.rules.slice(0, 2) },
    );
});

test("repeats: upstreams that shed get no more than the bound of all daemons allows", async () => {
    await withMesh(async mesh => {
        const shedding = mesh.hosts.filter(({ name }) => name.startsWith("fees"));
        await Promise.all(shedding.map(({ upstream }) => control(upstream, { shed: "said", shedShare: 0.8 })));
        await load(mesh, 8, 150);
        assertWithinBound(mesh, "fees");
    }, { settings: BOUNDED });
});
