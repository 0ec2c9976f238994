import assert from "node:assert/strict";
import { test } from "node:test";
import { Client, request } from "undici";
import type { Mesh } from "../demo/mesh.js";
import { eventually } from "./eventually.js";
import { withMesh } from "./withmesh.js";

const BODY_BYTES = 200 * 1024;
const MEMORY_BYTES = 1024 * 1024;
const UPLOADS = 60;

const metricOf = async (mesh: Mesh, index: number, name: string): Promise<number> => {
    const { body } = await request(`http://${mesh.hosts[index]!.operator}/metrics`);
    return Number(new RegExp(`^${name} (.*)$`, "m").exec(await body.text())?.[1]);
};

const STREAMED_BYTES = 8 * 1024 * 1024;

// A refused body that was too large to be kept was never read, so that its caller could not send all of it.
test("uploads: a streamed body whose request is refused is read to its end, and its connection stays in use", async () => {
    await withMesh(async mesh => {
        await Promise.all([...mesh.upstreams.values()].map(upstream => upstream.end("SIGKILL")));
        const client = new Client(`http://${mesh.hosts[0]!.ingress}`);
        const body = Buffer.alloc(STREAMED_BYTES, "b");
        for (let round = 0; round < 3; round++) {
            const res = await client.request({ method: "POST", path: "/fees/1", body, headersTimeout: 5000 });
            assert.ok([502, 503, 504].includes(res.statusCode), String(res.statusCode));
            await res.body.dump();
        }
        await client.close();
    });
});

test("uploads: bodies beyond the memory for them are refused with 503, and the memory is free again", async () => {
    await withMesh(async mesh => {
        const host = mesh.hosts[0]!;
        const body = Buffer.alloc(BODY_BYTES, "b");
        const responses = await Promise.all(
            Array.from({ length: UPLOADS }, async () => {
                const res = await request(`http://${host.ingress}/fees/1`, { method: "POST", body });
                return { status: res.statusCode, headers: res.headers, text: await res.body.text() };
            }),
        );
        const refused = responses.filter(({ text }) => text.includes("body-memory"));
        assert.ok(refused.length > 0 && refused.length < UPLOADS, `${refused.length} refused`);
        assert.ok(refused.every(({ status, headers }) => status === 503 && headers["retry-after"] !== undefined));
        assert.ok(responses.some(({ status }) => status === 200));
        await eventually(
            "no memory is held",
            async () => await metricOf(mesh, 0, "winglock_body_memory_bytes") === 0,
        );
        assert.ok(await metricOf(mesh, 0, "winglock_body_memory_refused") >= refused.length);
    }, { settings: { limits: { bodyMemoryBytes: MEMORY_BYTES } } });
});
