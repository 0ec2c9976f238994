import assert from "node:assert/strict";
import { test } from "node:test";
import { control } from "../demo/control.js";
import { runLoad } from "../demo/load.js";
import type { Mesh } from "../demo/mesh.js";
import { pause } from "./pause.js";
import { readControlBytes } from "./readcontrolbytes.js";
import { withMesh } from "./withmesh.js";

const BYTES_PER_SECOND = 4000;
const WINDOW_MS = 1000;
const WINDOWS = 5;

/** The most that a daemon spent a second; between two readings lie at most the first's question and the second's answer. */
const most = async (mesh: Mesh): Promise<number> => {
    let worst = 0;
    let before = await Promise.all(mesh.operators.map(readControlBytes));
    for (let window = 0; window < WINDOWS; window++) {
        await pause(WINDOW_MS);
        const after = await Promise.all(mesh.operators.map(readControlBytes));
        const rates = after.map(({ bytes, answeredAt }, at) =>
            (bytes - before[at]!.bytes) * WINDOW_MS / (answeredAt - before[at]!.askedAt)
        );
        worst = Math.max(worst, ...rates);
        before = after;
    }
    return worst;
};

test("rush: measuring stays within its budget at three times the capacity", async () => {
    const settings = { control: { bytesPerSecond: BYTES_PER_SECOND, healthPerSecond: 1 } };
    await withMesh(async mesh => {
        const pages = mesh.hosts.filter(host => host.service === "pages");
        await Promise.all(pages.map(host => control(host.upstream, { meanMs: 30, noiseEveryMs: 200 })));
        const ingresses = (): string[] => mesh.hosts.map(host => host.ingress);
        const [worst, told] = await Promise.all([
            most(mesh),
            runLoad(mesh.spec, { seed: 3, seconds: 6, ratePerSecond: 1200, ingresses }),
        ]);
        assert.ok(told.some(item => item.word === "not-run"), "it is a rush");
        assert.ok(worst <= BYTES_PER_SECOND, `${worst} bytes in the worst second`);
        const refused = told.filter(item => item.word === "not-run");
        assert.ok(refused.every(item => mesh.record.runs(item.id) === 0), "what was refused did not run");
    }, { settings });
});
