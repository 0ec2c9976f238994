import assert from "node:assert/strict";
import { test } from "node:test";
import { control } from "../demo/control.js";
import type { Mesh } from "../demo/mesh.js";
import { runLoad } from "../demo/runload.js";
import { pause } from "./pause.js";
import { readControlBytes } from "./readcontrolbytes.js";
import { withMesh } from "./withmesh.js";

const BYTES_PER_SECOND = 4000;
const WINDOW_MS = 1000;
const WINDOWS = 5;

/**
 * Returns the highest rate of control traffic at any daemon, in bytes per second. The time between two readings is the
 * longest possible one: from the request of the first to the response of the second.
 */
const measureMaxRate = async (mesh: Mesh): Promise<number> => {
    let maxRate = 0;
    let previous = await Promise.all(mesh.operators.map(readControlBytes));
    for (let window = 0; window < WINDOWS; window++) {
        await pause(WINDOW_MS);
        const current = await Promise.all(mesh.operators.map(readControlBytes));
        const rates = current.map(({ bytes, respondedAt }, index) =>
            (bytes - previous[index]!.bytes) * WINDOW_MS / (respondedAt - previous[index]!.requestedAt)
        );
        maxRate = Math.max(maxRate, ...rates);
        previous = current;
    }
    return maxRate;
};

test("rush: control traffic stays within its budget at three times the capacity", async () => {
    const settings = { control: { bytesPerSecond: BYTES_PER_SECOND, healthPerSecond: 1 } };
    await withMesh(async mesh => {
        const pages = mesh.hosts.filter(host => host.service === "pages");
        await Promise.all(pages.map(host => control(host.upstream, { meanMs: 30, noiseEveryMs: 200 })));
        const ingresses = (): string[] => mesh.hosts.map(host => host.ingress);
        const [maxRate, results] = await Promise.all([
            measureMaxRate(mesh),
            runLoad(mesh.spec, { seed: 3, seconds: 6, ratePerSecond: 1200, ingresses }),
        ]);
        assert.ok(
            results.some(item => item.outcome === "not-run"),
            "some requests are refused, so the load exceeds the capacity",
        );
        assert.ok(maxRate <= BYTES_PER_SECOND, `${maxRate} bytes per second at most`);
        const notRun = results.filter(item => item.outcome === "not-run");
        assert.ok(notRun.every(item => mesh.record.countRuns(item.id) === 0), "refused requests did not run");
    }, { settings });
});
