import assert from "node:assert/strict";
import { test } from "node:test";
import { request } from "undici";
import { control } from "../demo/control.js";
import { eventually } from "./eventually.js";
import { readRevisions } from "./readrevisions.js";
import { withMesh } from "./withmesh.js";

const REPEATABLE = ["--path-prefix", "/pages/again", "--service", "pages", "--kind", "repeatable"];

test("stale: a rule change applies at once if only the gate has received it and the ingress has not", async () => {
    await withMesh(async mesh => {
        await mesh.cli("rule", "create", "again", ...REPEATABLE);
        const waitForRevision = (revision: number): Promise<void> =>
            eventually(
                `all daemons have revision ${revision}`,
                async () => [...(await readRevisions(mesh)).values()].every(other => other === revision),
            );
        await waitForRevision(2);
        const staleHosts = mesh.hosts.filter(host => host.place === 3);
        await mesh.setFaults([
            { links: staleHosts.map(host => host.peerProxy), from: [], deaf: true },
            { links: [mesh.storeProxy], from: [3], cut: true },
        ]);
        const { code } = await mesh.cli("rule", "update", "again", "--kind", "once");
        assert.equal(code, 0);
        const revisionAt = async (host: string): Promise<number | undefined> => (await readRevisions(mesh)).get(host);
        const updatedHosts = mesh.hosts.filter(host => host.place !== 3);
        await eventually("the daemons of the other halls have revision 3", async () => {
            const current = await Promise.all(updatedHosts.map(host => revisionAt(host.name)));
            return current.every(revision => revision === 3);
        });
        const ingress = staleHosts.find(host => host.service === "fees")!;
        assert.equal(await revisionAt(ingress.name), 2, "the ingress still has the previous revision");
        const pages = mesh.hosts.filter(host => host.service === "pages");
        await Promise.all(pages.map(host => control(host.upstream, { answerFault: "cut", faultShare: 1 })));
        const res = await request(`http://${ingress.ingress}/pages/again`, {
            method: "POST",
            headers: { "x-load-id": "stale-1" },
        });
        assert.equal(res.headers["winglock-outcome"], "unknown");
        await res.body.dump();
        assert.equal(mesh.record.countRuns("stale-1"), 1, "the request is not repeated");
    });
});
