import assert from "node:assert/strict";
import { test } from "node:test";
import type { Mesh } from "../demo/mesh.js";
import { eventually } from "./eventually.js";
import { pause } from "./pause.js";
import { readRevisions } from "./readrevisions.js";
import { runLoadWithFault } from "./runloadwithfault.js";
import { withMesh } from "./withmesh.js";

/** Time after which a daemon that can't reach the store no longer considers its rules fresh. */
const FRESH_MS = 12_000;

/** Disconnects the hall of number `place` from the other halls and from the store. */
const cutHall = async (mesh: Mesh, place: number): Promise<void> => {
    const inside = mesh.hosts.filter(host => host.place === place).map(host => host.peerProxy);
    const outside = mesh.hosts.filter(host => host.place !== place).map(host => host.peerProxy);
    await mesh.setFaults([
        { links: inside, from: [1, 2, 3].filter(other => other !== place), cut: true },
        { links: [...outside, mesh.storeProxy], from: [place], cut: true },
    ]);
};

test("split: both sides of a network partition serve requests, and the configuration converges after it", async () => {
    await withMesh(async mesh => {
        const { counts } = await runLoadWithFault(mesh, async () => {
            await pause(1000);
            await cutHall(mesh, 3);
            const { code } = await mesh.cli("service", "update", "pages", "--max-wait-ms", "400");
            assert.equal(code, 0, "the side with the store accepts changes");
            await pause(3000);
            await mesh.setFaults([]);
        }, { seconds: 7 });
        assert.ok(counts.answered > counts.sent * 0.9, JSON.stringify(counts));
        await eventually(
            "all daemons have revision 2",
            async () => [...(await readRevisions(mesh)).values()].every(revision => revision === 2),
        );
    });
});

test("split: a daemon that can't confirm that its rules are fresh runs an unsafe method at most once", async () => {
    await withMesh(async mesh => {
        await mesh.cli(
            "rule",
            "create",
            "again",
            "--path-prefix",
            "/pages/again",
            "--service",
            "pages",
            "--kind",
            "repeatable",
        );
        const kindAt = async (operator: string): Promise<number> => {
            const { stdout } = await mesh.cli(
                "explain",
                "POST",
                "http://x/pages/again",
                "--json",
                "--daemon",
                operator,
            );
            return (JSON.parse(stdout) as { kind: number; }).kind;
        };
        const cutHost = mesh.hosts.find(host => host.place === 3)!;
        await eventually("the rule is in force", async () => (await kindAt(cutHost.operator)) === 1);
        await cutHall(mesh, 3);
        await pause(FRESH_MS);
        await eventually(
            "the disconnected hall treats the request as once",
            async () => (await kindAt(cutHost.operator)) === 2,
        );
        assert.equal(await kindAt(mesh.hosts[0]!.operator), 1, "the other side can confirm its rules");
    });
});
