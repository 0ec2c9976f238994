import assert from "node:assert/strict";
import { test } from "node:test";
import { PlatformMesh } from "./platformmesh.js";
import { runWith } from "./runwith.js";
import { StopSoak } from "./stopsoak.js";

const SEED = 1;
const SECONDS = 60;

// Guards against planned work that loses requests: overlapping stops, repeated signals, reloads and changes.
test("stop soak: a minute of overlapping stops, signals and changes loses no request", async () => {
    const mesh = await PlatformMesh.start(undefined, undefined, undefined, { settings: StopSoak.settings });
    await runWith(mesh, async () => {
        const counts = await new StopSoak(mesh, SEED).run(SECONDS);
        const { lost, ranTwice, refusedThoughRun, badExits, badStops, stops, answered } = counts;
        assert.deepEqual({ lost, ranTwice, refusedThoughRun, badExits, badStops }, {
            lost: [],
            ranTwice: [],
            refusedThoughRun: [],
            badExits: [],
            badStops: [],
        });
        assert.ok(stops > 10 && answered > 500, `${stops} stops, ${answered} answered`);
    });
});
