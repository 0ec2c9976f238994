import assert from "node:assert/strict";
import { test } from "node:test";
import { request } from "undici";
import type { Mesh } from "../demo/mesh.js";
import { loaded } from "./loaded.js";
import { pause } from "./pause.js";
import { withMesh } from "./withmesh.js";

const openStreams = (mesh: Mesh, count: number): Promise<string[]> =>
    Promise.all(Array.from({ length: count }, async (_, at) => {
        const { body } = await request(`http://${mesh.hosts[at % mesh.hosts.length]!.ingress}/events`);
        return await body.text();
    }));

test("stop: a daemon stops by plan under load, twice, and cuts off nothing", async () => {
    await withMesh(async mesh => {
        const host = mesh.host("fees-1");
        let streams: Promise<string[]> | undefined;
        const { counts } = await loaded(mesh, async () => {
            for (let time = 0; time < 2; time++) {
                await pause(600);
                streams = openStreams(mesh, 6);
                await pause(50);
                assert.equal(await mesh.daemons.get(host.name)!.end("SIGTERM"), 0);
                await mesh.startDaemon(host).ready();
            }
        }, { seconds: 6 });
        assert.equal(counts.cut + counts.unknown, 0, JSON.stringify(counts));
        const events = (await streams!).map(text => text.match(/data:/g)?.length);
        assert.deepEqual(events, [10, 10, 10, 10, 10, 10], "streams are finished");
    });
});

test("stop: an upstream stops by plan under load and cuts off nothing", async () => {
    await withMesh(async mesh => {
        const { counts } = await loaded(mesh, async () => {
            await pause(800);
            await mesh.upstreams.get("fees-2")!.end("SIGTERM");
        }, { seconds: 4 });
        assert.equal(counts.cut + counts.unknown, 0, JSON.stringify(counts));
    });
});

test("stop: a second signal ends at once and names what was cut", async () => {
    await withMesh(async mesh => {
        const host = mesh.host("pages-1");
        const daemon = mesh.daemons.get(host.name)!;
        const long = request(`http://${host.ingress}/poll?ms=4500`).then(res => res.body.text());
        const cut = assert.rejects(long);
        await pause(300);
        daemon.signal("SIGTERM");
        await pause(300);
        assert.equal(await daemon.end("SIGTERM"), 0);
        await cut;
        assert.match(daemon.errors.join("\n"), /requests were cut off by the stop/);
    });
});
