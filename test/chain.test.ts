import assert from "node:assert/strict";
import { test } from "node:test";
import { request } from "undici";
import { control } from "../demo/control.js";
import { runLoad } from "../demo/load.js";
import type { Mesh } from "../demo/mesh.js";
import { chainMesh } from "./chainmesh.js";
import { withMesh } from "./withmesh.js";

const levelOf = (name: string): number => Number(/^level(\d)/.exec(name)![1]);

const joinLevels = async (mesh: Mesh): Promise<void> => {
    for (const host of mesh.hosts) {
        const level = levelOf(host.name);
        const next = level === 6 ? "" : `${host.ingress}/chain/level${level + 1}`;
        await control(host.upstream, { next });
    }
};

const served = async (mesh: Mesh, level: number): Promise<number> => {
    const hosts = mesh.hosts.filter(host => levelOf(host.name) === level);
    const counts = await Promise.all(hosts.map(async host => {
        const { body } = await request(`http://${host.upstream}/counts`);
        return (await body.json() as { served: number; }).served;
    }));
    return counts.reduce((sum, count) => sum + count, 0);
};

const countServed = async (mesh: Mesh): Promise<number[]> => {
    const counts: number[] = [];
    for (let level = 1; level <= 6; level++) {
        counts.push(await served(mesh, level));
    }
    return counts;
};

test("chain: six deep is served, and a failing leaf does not multiply", async () => {
    await withMesh(
        async mesh => {
            await joinLevels(mesh);
            const ingresses = (): string[] => mesh.hosts.map(host => host.ingress);
            const well = await runLoad(mesh.spec, { seed: 1, seconds: 2, ratePerSecond: 40, ingresses });
            const unserved = well.filter(item => item.status !== 200);
            assert.deepEqual(unserved, [], "all are served");
            const before = await countServed(mesh);
            const leaves = mesh.hosts.filter(host => levelOf(host.name) === 6);
            await Promise.all(leaves.map(host => control(host.upstream, { failing: 1 })));
            const ill = await runLoad(mesh.spec, { seed: 2, seconds: 2, ratePerSecond: 40, ingresses });
            assert.ok(ill.every(item => item.status >= 500), "the failure reaches the caller");
            const after = await countServed(mesh);
            const perRequest = after.map((count, at) => (count - before[at]!) / ill.length);
            perRequest.slice(0, 5).forEach((share, at) =>
                assert.ok(share <= 1.2, `level ${at + 1} ran ${share} times`)
            );
            assert.ok(perRequest[5]! <= 3.2, `the leaf ran ${perRequest[5]} times`);
        },
        {},
        chainMesh,
    );
});

test("chain: time runs out for all levels together, and calls too deep are refused", async () => {
    await withMesh(
        async mesh => {
            await joinLevels(mesh);
            const last = mesh.hosts.find(host => levelOf(host.name) === 6)!;
            const leaves = mesh.hosts.filter(host => levelOf(host.name) === 6);
            await Promise.all(leaves.map(host => control(host.upstream, { meanMs: 5000 })));
            const slow = await request(`http://${last.ingress}/chain/level1`);
            assert.ok(slow.statusCode >= 500);
            await slow.body.dump();
            await Promise.all(
                leaves.map(host => control(host.upstream, { meanMs: 1, next: `${host.ingress}/chain/level1` })),
            );
            const round = await request(`http://${last.ingress}/chain/level1`);
            assert.ok(round.statusCode >= 500, "a call in a circle ends");
            await round.body.dump();
        },
        {},
        chainMesh,
    );
});
