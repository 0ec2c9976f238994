import assert from "node:assert/strict";
import { test } from "node:test";
import { request } from "undici";
import type { HostPlan } from "../demo/hostplan.js";
import type { Mesh } from "../demo/mesh.js";
import type { MeshSpec } from "../demo/meshspec.js";
import { eventually } from "./eventually.js";
import { readRevisions } from "./readrevisions.js";
import { sendPeriodically } from "./sendperiodically.js";
import { withMesh } from "./withmesh.js";

/** Two regions of one hall each, with two upstreams of a service in each, 40 ms apart. */
const spec: MeshSpec = {
    name: "regions",
    region: "north",
    regionByHall: { b: "south" },
    halls: ["a", "b"],
    interHallDelayMs: 20,
    slots: 4,
    meanMs: 5,
    services: [{ name: "pages", instances: 4 }],
    rules: [
        { name: "pages", pathPrefix: "/pages", service: "pages", timeLimitMs: 2000 },
        { name: "south", pathPrefix: "/pages/south", service: "pages", timeLimitMs: 2000 },
    ],
    requests: [{ name: "page", method: "GET", path: "/pages/1", share: 1, once: false }],
    profile: "responsive",
};

type Response = { readonly status: number; readonly text: string; readonly elapsedMs: number; };

const send = async (host: HostPlan, path = "/pages/1"): Promise<Response> => {
    const sentAt = performance.now();
    const { statusCode: status, body } = await request(`http://${host.ingress}${path}`);
    return { status, text: await body.text(), elapsedMs: performance.now() - sentAt };
};

/** Returns how many requests the upstreams of a hall have served. */
const countServed = async (mesh: Mesh, hall: string): Promise<number> => {
    const counts = await Promise.all(
        mesh.hosts.filter(host => host.hall === hall).map(async host => {
            const { body } = await request(`http://${host.upstream}/counts`);
            return (await body.json() as { served: number; }).served;
        }),
    );
    return counts.reduce((sum, count) => sum + count, 0);
};

/** Limits the rule `south` to its region, in the stored document: the command has no flag for it. */
const limitToSouth = async (mesh: Mesh): Promise<void> => {
    const key = `http://${mesh.storeAddress}/v1/kv/winglock`;
    const { body } = await request(key);
    const { value, version } = await body.json() as { value: string; version: number; };
    const document = JSON.parse(value) as { revision: number; rules: { name: string; regions?: string[]; }[]; };
    document.revision += 1;
    document.rules.find(({ name }) => name === "south")!.regions = ["south"];
    const { statusCode } = await request(`${key}?version=${version}`, {
        method: "PUT",
        body: JSON.stringify(document),
    });
    assert.ok(statusCode < 300, `the store responded ${statusCode}`);
    await eventually(
        "all daemons have the changed rule",
        async () => [...(await readRevisions(mesh)).values()].every(revision => revision === document.revision),
    );
};

const cutSouth = async (mesh: Mesh): Promise<void> => {
    const linksOf = (hall: string): string[] =>
        mesh.hosts.filter(host => host.hall === hall).map(host => host.peerProxy);
    await mesh.setFaults([
        { links: linksOf("b"), from: [1], cut: true },
        { links: [...linksOf("a"), mesh.storeProxy], from: [2], cut: true },
    ]);
};

const statusesOf = (responses: readonly Response[]): number[] => responses.map(({ status }) => status);

// Guards against a partition in which one region waits for the other, against a regional request that waits for an
// unreachable region until its deadline, and against upstreams that stay left out after the partition.
test("regions: each serves alone during a partition, and the other one's upstreams return after it", async () => {
    await withMesh(
        async mesh => {
            const [north, south] = ["a", "b"].map(hall => mesh.hosts.find(host => host.hall === hall)!) as [
                HostPlan,
                HostPlan,
            ];
            await limitToSouth(mesh);
            const before = await countServed(mesh, "b");
            const atHome = await sendPeriodically(1000, 20, () => send(north));
            assert.deepEqual(statusesOf(atHome).filter(status => status !== 200), []);
            assert.equal(await countServed(mesh, "b"), before, "requests stay in their region");
            const servedInNorth = await countServed(mesh, "a");
            const regional = await sendPeriodically(500, 50, () => send(north, "/pages/south"));
            assert.deepEqual(statusesOf(regional).filter(status => status !== 200), []);
            assert.equal(
                await countServed(mesh, "a"),
                servedInNorth,
                "no regional request, nor its hedge, is served here",
            );

            const explained = await mesh.cli("explain", "GET", "http://x/pages/south", "--daemon", north.operator);
            assert.match(explained.stdout, /^pages-1 +no: the rule does not allow region north/m);
            assert.match(explained.stdout, /^pages-2 +yes/m);
            const status = await mesh.cli("status");
            assert.match(
                status.stdout,
                /^between regions: [1-9]\d* bytes sent, [1-9]\d* received, \d+ control messages sent$/m,
            );

            await cutSouth(mesh);
            await eventually("a regional request is refused", async () => {
                const { status, text } = await send(north, "/pages/south");
                return status === 503 && text.includes("region-unavailable");
            });
            const [inNorth, inSouth, refused] = await Promise.all([
                sendPeriodically(3000, 20, () => send(north)),
                sendPeriodically(3000, 20, () => send(south)),
                sendPeriodically(3000, 300, () => send(north, "/pages/south")),
            ]);
            assert.deepEqual(statusesOf([...inNorth, ...inSouth]).filter(status => status !== 200), []);
            assert.deepEqual(statusesOf(refused).filter(status => status !== 503), []);
            const atOnce = refused.filter(({ elapsedMs }) => elapsedMs < 200);
            assert.ok(
                atOnce.length >= refused.length - 2,
                refused.map(({ elapsedMs }) => Math.round(elapsedMs)).join(),
            );

            await mesh.setFaults([]);
            await eventually("regional requests are served again", async () => {
                const responses = await Promise.all([1, 2, 3, 4].map(() => send(north, "/pages/south")));
                return responses.every(({ status }) => status === 200);
            });
        },
        {},
        spec,
    );
});
