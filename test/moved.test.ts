import assert from "node:assert/strict";
import { test } from "node:test";
import { request } from "undici";
import type { Mesh } from "../demo/mesh.js";
import { eventually } from "./eventually.js";
import { readRevisions } from "./readrevisions.js";
import { withMesh } from "./withmesh.js";

const STALE_PLACE = 3;

const waitForRevision = async (mesh: Mesh, revision: number, hosts: Mesh["hosts"]): Promise<void> =>
    eventually(`${hosts.length} daemons have revision ${revision}`, async () => {
        const revisions = await readRevisions(mesh);
        return hosts.every(({ name }) => revisions.get(name) === revision);
    });

/**
 * Makes a change that the daemons of one hall do not learn of by the store and datagrams; returns one of them. Their hall
 * has no upstream of the rule's service in use, so that requests go to daemons that know the change.
 */
const changeUnknownToHall = async (mesh: Mesh, ...change: string[]): Promise<Mesh["hosts"][number]> => {
    const staleHosts = mesh.hosts.filter(host => host.place === STALE_PLACE);
    const ingress = staleHosts.find(host => host.service === "fees")!;
    await mesh.cli("rule", "create", "moved", "--path-prefix", "/moved", "--service", "pages", "--kind", "repeatable");
    await mesh.cli("drain", staleHosts.find(host => host.service === "pages")!.name);
    await waitForRevision(mesh, 3, mesh.hosts);
    const res = await request(`http://${ingress.ingress}/moved/1`);
    await res.body.dump();
    assert.equal(res.statusCode, 200);
    await mesh.setFaults([
        { links: staleHosts.map(host => host.peerProxy), from: [], deaf: true },
        { links: [mesh.storeProxy], from: [STALE_PLACE], cut: true },
    ]);
    assert.equal((await mesh.cli(...change)).code, 0);
    await waitForRevision(mesh, 4, mesh.hosts.filter(({ place }) => place !== STALE_PLACE));
    assert.equal((await readRevisions(mesh)).get(ingress.name), 3, "the ingress still has the previous revision");
    return ingress;
};

// Guards against requests that the former service of a rule runs, because only their ingress has an older configuration.
test("moved: a rule that sends requests to another service applies although the ingress does not know it", async () => {
    await withMesh(async mesh => {
        const ingress = await changeUnknownToHall(mesh, "rule", "update", "moved", "--service", "fees");
        const headers = { "x-load-id": "moved-1" };
        const res = await request(`http://${ingress.ingress}/moved/1`, { headers });
        assert.equal(res.statusCode, 200);
        await res.body.dump();
        const [upstream, ...others] = mesh.record.upstreamsOf("moved-1");
        assert.match(upstream!, /^fees/);
        assert.deepEqual(others, []);
        assert.equal((await readRevisions(mesh)).get(ingress.name), 4, "the ingress has pulled the newer revision");
    });
});

// Guards against requests that run although their rule was removed, because only their ingress has an older configuration.
test("moved: a request of a removed rule does not run although the ingress still has the rule", async () => {
    await withMesh(async mesh => {
        const ingress = await changeUnknownToHall(mesh, "rule", "delete", "moved");
        const res = await request(`http://${ingress.ingress}/moved/1`, { headers: { "x-load-id": "removed-1" } });
        assert.equal(res.statusCode, 404);
        await res.body.dump();
        assert.equal(mesh.record.countRuns("removed-1"), 0);
    });
});
