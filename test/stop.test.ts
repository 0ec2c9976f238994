import assert from "node:assert/strict";
import { test } from "node:test";
import { request } from "undici";
import type { Mesh } from "../demo/mesh.js";
import { pause } from "./pause.js";
import { runLoadWithFault } from "./runloadwithfault.js";
import { withMesh } from "./withmesh.js";

/** Opens event streams, distributed over all daemons; resolves with their bodies when all have ended. */
const openStreams = (mesh: Mesh, count: number): Promise<string[]> =>
    Promise.all(Array.from({ length: count }, async (_, index) => {
        const { body } = await request(`http://${mesh.hosts[index % mesh.hosts.length]!.ingress}/events`);
        return await body.text();
    }));

test("stop: a daemon that stops gracefully under load, twice, cuts off no request and no stream", async () => {
    await withMesh(async mesh => {
        const host = mesh.host("fees-1");
        let streams: Promise<string[]> | undefined;
        const { counts } = await runLoadWithFault(mesh, async () => {
            for (let round = 0; round < 2; round++) {
                await pause(600);
                streams = openStreams(mesh, 6);
                await pause(50);
                assert.equal(await mesh.daemons.get(host.name)!.end("SIGTERM"), 0);
                await mesh.startDaemon(host).ready();
            }
        }, { seconds: 6 });
        assert.equal(counts.cut + counts.unknown, 0, JSON.stringify(counts));
        const eventCounts = (await streams!).map(text => text.match(/data:/g)?.length);
        assert.deepEqual(eventCounts, [10, 10, 10, 10, 10, 10], "all streams run to their end");
    });
});

test("stop: an upstream that stops gracefully under load cuts off no request", async () => {
    await withMesh(async mesh => {
        const { counts } = await runLoadWithFault(mesh, async () => {
            await pause(800);
            await mesh.upstreams.get("fees-2")!.end("SIGTERM");
        }, { seconds: 4 });
        assert.equal(counts.cut + counts.unknown, 0, JSON.stringify(counts));
    });
});

/** Returns the fields of the log lines with the message. */
const linesOf = (mesh: Mesh, message: string): Record<string, unknown>[] =>
    mesh.log.filter(line => line.includes(message)).map(line => JSON.parse(line) as Record<string, unknown>);

// Guards against requests whose end by the daemon can't be told from a caller that left.
test("stop: the log states which requests the daemon cut off, and accounts for all others", async () => {
    await withMesh(async mesh => {
        const host = mesh.host("pages-1");
        const poll = request(`http://${host.ingress}/poll?ms=4500`).then(res => res.body.text());
        const rejected = assert.rejects(poll);
        await pause(300);
        const stopped = mesh.daemons.get(host.name)!.end("SIGTERM");
        await request(`http://${host.ingress}/poll?ms=50`).then(res => res.body.text());
        assert.equal(await stopped, 0);
        await rejected;
        const cut = linesOf(mesh, "The request has ended.").filter(({ outcome }) => outcome === "cut");
        assert.deepEqual(cut.map(({ status, tries }) => [status, tries]), [[undefined, 1]]);
        const [stop, ...others] = linesOf(mesh, "The daemon has stopped.");
        const { accepted, answered, unanswered, cut: cutCount, dropped, unsentBytes } = stop!;
        assert.deepEqual([accepted, answered, unanswered, cutCount, dropped, unsentBytes], [2, 1, 0, 1, 0, 0]);
        assert.equal(others.length, 0);
        assert.deepEqual(linesOf(mesh, "received a signal").map(({ signal }) => signal), ["SIGTERM"]);
    }, { settings: { stop: { lingerMs: 500, limitMs: 500 } } });
});

// Guards against a stop that cuts off requests when its supervisor repeats the signal.
test("stop: repeated stop and reload signals cut off no request", async () => {
    await withMesh(async mesh => {
        const host = mesh.host("pages-1");
        const daemon = mesh.daemons.get(host.name)!;
        const poll = request(`http://${host.ingress}/poll?ms=2500`).then(({ statusCode, body }) =>
            body.text().then(() => statusCode)
        );
        await pause(300);
        const signals = ["SIGTERM", "SIGHUP", "SIGTERM", "SIGTERM", "SIGHUP"] as const;
        for (const signal of signals) {
            daemon.signal(signal);
            await pause(200);
        }
        assert.equal(await daemon.end("SIGTERM"), 0);
        assert.equal(await poll, 200);
        assert.doesNotMatch(daemon.errors.join("\n"), /cut off/);
    });
});

test("stop: an interrupt during a stop ends the daemon at once, and the daemon logs how many requests it cuts off", async () => {
    await withMesh(async mesh => {
        const host = mesh.host("pages-1");
        const daemon = mesh.daemons.get(host.name)!;
        const poll = request(`http://${host.ingress}/poll?ms=4500`).then(res => res.body.text());
        const rejected = assert.rejects(poll);
        await pause(300);
        daemon.signal("SIGTERM");
        await pause(300);
        assert.equal(await daemon.end("SIGINT"), 0);
        await rejected;
        assert.match(daemon.errors.join("\n"), /requests were cut off by the stop/);
        const cut = linesOf(mesh, "The request has ended.").filter(({ outcome }) => outcome === "cut");
        assert.equal(cut.length, 1);
    });
});
