/**
 * Tests in a simulation what the parts of admission contribute under load that is known to overload a mesh.
 *
 * The load: three services of which two call another, about half used; twice as many slots as work that fits below
 * the knee; work five times slower at a quarter of the upstreams, sampled again every 150 ms; bursts, the loss of
 * half of a service, and a restart of all hosts. The figures are shares of the worth that was served in time, as
 * means over seeds. Each bound leaves room for the differences between seeds.
 */
import assert from "node:assert/strict";
import { test } from "node:test";
import { seededRandom } from "../../../standin/seededrandom.js";
import { EventLoop } from "./eventloop.js";
import { layered } from "./layered.js";
import type { ModelPolicy } from "./modelpolicy.js";
import type { ModelTally } from "./modeltally.js";
import type { ModelTrouble } from "./modeltrouble.js";
import { runModel } from "./runmodel.js";
import { usualPolicy } from "./usualpolicy.js";
import { worthShare } from "./worthshare.js";

const SEEDS = [1, 2, 3];
const BURST: readonly ModelTrouble[] = [{ type: "burst", atMs: 8000, durationMs: 5000, loadFactor: 1.7 }];
const LOSS: readonly ModelTrouble[] = [{ type: "loss", atMs: 5000, service: "engine", count: 2 }, {
    type: "burst",
    atMs: 8000,
    durationMs: 5000,
    loadFactor: 1.5,
}];
const RESTART: readonly ModelTrouble[] = [{ type: "restart", atMs: 15_000, downMs: 1300 }];

const run = (troubles: readonly ModelTrouble[], seed: number, policy: Partial<ModelPolicy>): ModelTally => {
    const fullPolicy = { ...usualPolicy, ...policy };
    return runModel(
        layered({ hosts: 13, load: 1.1, lengthMs: 26_000, troubles, policy: fullPolicy }),
        seededRandom(seed),
    );
};

const worthOf = (troubles: readonly ModelTrouble[], policy: Partial<ModelPolicy> = {}): number =>
    SEEDS.reduce((sum, seed) => sum + worthShare(run(troubles, seed, policy).classes) / SEEDS.length, 0);

/** Returns the share served in time of the requests whose first attempt was made from second `from` to second `to`. */
const inTime = (from: number, to: number, policy: Partial<ModelPolicy> = {}): number => {
    const seconds = SEEDS.flatMap(seed => run(RESTART, seed, policy).seconds.slice(from, to));
    return seconds.reduce((sum, second) => sum + second.inTime, 0)
        / seconds.reduce((sum, second) => sum + second.requests, 0);
};

test("model: the same seed gives the same figures", () => {
    assert.deepEqual(run(BURST, 5, {}), run(BURST, 5, {}));
});

test("model: events run in the order of their times, and a cancelled event does not run", () => {
    const loop = new EventLoop();
    const runTimes: number[] = [];
    for (const delayMs of [5, 1, 3, 3, 2, 4, 0]) {
        loop.schedule(delayMs, () => runTimes.push(loop.now));
    }
    loop.schedule(3, () => runTimes.push(-1))();
    loop.runUntil(4);
    assert.deepEqual(runTimes, [0, 1, 2, 3, 3, 4]);
});

test("model: keeping a slot free while the upstream is slow adds more than 0.03 to the share of worth", () => {
    for (const troubles of [BURST, LOSS]) {
        const [enabled, disabled] = [worthOf(troubles), worthOf(troubles, { waitsForPace: false })];
        assert.ok(enabled > disabled + 0.03, `${enabled} ${disabled}`);
    }
});

test("model: a limit that learns the knee adds more than 0.03 after the loss of half of a service", () => {
    const [enabled, disabled] = [worthOf(LOSS), worthOf(LOSS, { limit: "ramp", keepsKneeShare: false })];
    assert.ok(enabled > disabled + 0.03, `${enabled} ${disabled}`);
});

test("model: after a restart of all hosts the mesh recovers soon, and sooner with the knee learned before", () => {
    assert.ok(inTime(20, 25) > 0.9, String(inTime(20, 25)));
    const [enabled, disabled] = [inTime(17, 20), inTime(17, 20, { keepsKneeShare: false })];
    assert.ok(enabled > disabled + 0.08, `${enabled} ${disabled}`);
});

test("model: calls that inherit the priority of their request lower the share of worth", () => {
    const [own, inherited] = [worthOf(LOSS), worthOf(LOSS, { callPriority: "inherited" })];
    assert.ok(own > inherited, `${own} ${inherited}`);
});

/** At this load, two thirds of the upstreams can serve all requests. */
const LIGHT = { hosts: 13, load: 0.7, lengthMs: 26_000, policy: usualPolicy };
const EVACUATE: readonly ModelTrouble[] = [{ type: "evacuate", atMs: 8000, durationMs: 8000, hall: 0 }];
const COLD = { perSecond: 12, overage: 1.5, slack: 2 };

test("model: evacuating a hall that returns cold costs at most a tenth of the worth under light load", () => {
    for (const seed of SEEDS) {
        const undisturbed = worthShare(runModel(layered({ ...LIGHT, troubles: [] }), seededRandom(seed)).classes);
        const troubled = layered({ ...LIGHT, troubles: EVACUATE, coldLimits: COLD });
        const worth = worthShare(runModel(troubled, seededRandom(seed)).classes);
        assert.ok(worth >= 0.9 * undisturbed, `seed ${seed}: ${worth} of ${undisturbed}`);
    }
});

test("model: with all upstreams cold after a restart, the urgent class is not the one served worst", () => {
    for (const seed of SEEDS) {
        const scenario = layered({ ...LIGHT, troubles: RESTART, coldLimits: COLD });
        const { classes } = runModel(scenario, seededRandom(seed));
        const shareOf = (name: string): number => {
            const { inTime, requests } = classes.find(tally => tally.name === name)!;
            return inTime / requests;
        };
        assert.ok(shareOf("order") >= Math.min(shareOf("view"), shareOf("work")), `seed ${seed}`);
    }
});
