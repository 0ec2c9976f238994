import assert from "node:assert/strict";
import { test } from "node:test";
import { pause } from "./pause.js";
import { runLoadWithFault } from "./runloadwithfault.js";
import { withMesh } from "./withmesh.js";

test("crash: killing a daemon, an upstream and the store under load cuts off no caller of other daemons", async () => {
    await withMesh(async mesh => {
        const gate = mesh.host("fees-1");
        const upstream = mesh.host("fees-2");
        const { results, counts } = await runLoadWithFault(mesh, async () => {
            for (let round = 0; round < 2; round++) {
                await pause(700);
                await mesh.daemons.get(gate.name)!.end("SIGKILL");
                await pause(300);
                await mesh.store!.end("SIGKILL");
                await mesh.upstreams.get(upstream.name)!.end("SIGKILL");
                await pause(700);
                await Promise.all([
                    mesh.startDaemon(gate).ready(),
                    mesh.startUpstream(upstream).ready(),
                    mesh.startStore().ready(),
                ]);
            }
        }, { seconds: 9, ingresses: () => mesh.hosts.filter(host => host !== gate).map(host => host.ingress) });
        assert.equal(counts.cut, 0, "no caller of a running daemon is cut off");
        const lastResults = results.filter(result => result.at > Math.max(...results.map(other => other.at)) - 500);
        assert.ok(
            lastResults.every(result => result.outcome === "answered"),
            "all requests of the last 500 ms are answered",
        );
    });
});

test("crash: when a daemon is killed under load, no request runs twice that may run only once", async () => {
    await withMesh(async mesh => {
        const gate = mesh.host("pages-1");
        await runLoadWithFault(mesh, async () => {
            await pause(1000);
            await mesh.daemons.get(gate.name)!.end("SIGKILL");
        }, { seconds: 3, killed: [gate.name] });
    });
});
