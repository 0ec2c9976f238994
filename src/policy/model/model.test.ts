/**
 * What the parts of admission are worth under load that is known to bring a mesh down, by the model.
 *
 * The pattern: three services of which two call another, about half used; twice as many slots as work that fits below the knee; work five
 * times slower at a quarter of the upstreams, drawn anew every 150 ms; bursts, the loss of half of a service, a restart of all hosts. The
 * figures are shares of the worth that was answered in time, means over seeds; bounds are the figures of today less the noise of seeds.
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
    const all = { ...usualPolicy, ...policy };
    return runModel(layered({ hosts: 13, load: 1.1, lengthMs: 26_000, troubles, policy: all }), seededRandom(seed));
};

const worthOf = (troubles: readonly ModelTrouble[], policy: Partial<ModelPolicy> = {}): number =>
    SEEDS.reduce((sum, seed) => sum + worthShare(run(troubles, seed, policy).classes) / SEEDS.length, 0);

/** Of the requests first tried in these seconds, the share answered in time. */
const inTime = (from: number, to: number, policy: Partial<ModelPolicy> = {}): number => {
    const seconds = SEEDS.flatMap(seed => run(RESTART, seed, policy).seconds.slice(from, to));
    return seconds.reduce((sum, second) => sum + second.inTime, 0)
        / seconds.reduce((sum, second) => sum + second.requests, 0);
};

test("model: the same seed gives the same figures", () => {
    assert.deepEqual(run(BURST, 5, {}), run(BURST, 5, {}));
});

test("model: events run in the order of their times, and what is taken back does not", () => {
    const loop = new EventLoop();
    const seen: number[] = [];
    for (const at of [5, 1, 3, 3, 2, 4, 0]) {
        loop.schedule(at, () => seen.push(loop.now));
    }
    loop.schedule(3, () => seen.push(-1))();
    loop.runUntil(4);
    assert.deepEqual(seen, [0, 1, 2, 3, 3, 4]);
});

test("model: a slot that stays free while its upstream works slowly is worth more than three hundredths", () => {
    for (const troubles of [BURST, LOSS]) {
        const [with_, without] = [worthOf(troubles), worthOf(troubles, { waitsForPace: false })];
        assert.ok(with_ > without + 0.03, `${with_} ${without}`);
    }
});

test("model: a limit that finds the knee while it is full is worth something where half of a service is lost", () => {
    const [with_, without] = [worthOf(LOSS), worthOf(LOSS, { limit: "ramp", keepsKneeShare: false })];
    assert.ok(with_ > without + 0.03, `${with_} ${without}`);
});

test("model: after a restart of all hosts the mesh is back soon, sooner by what it had learnt before", () => {
    assert.ok(inTime(20, 25) > 0.9, String(inTime(20, 25)));
    const [with_, without] = [inTime(17, 20), inTime(17, 20, { keepsKneeShare: false })];
    assert.ok(with_ > without + 0.08, `${with_} ${without}`);
});

test("model: calls in the class of their request cost more than they bring", () => {
    const [own, inherited] = [worthOf(LOSS), worthOf(LOSS, { callPriority: "inherited" })];
    assert.ok(own > inherited, `${own} ${inherited}`);
});

/** Two thirds of the upstreams have room for it all, at this load. */
const LIGHT = { hosts: 13, load: 0.7, lengthMs: 26_000, policy: usualPolicy };
const EVACUATE: readonly ModelTrouble[] = [{ type: "evacuate", atMs: 8000, durationMs: 8000, hall: 0 }];
const COLD = { perSecond: 12, overage: 1.5, slack: 2 };

test("model: a hall that is evacuated and comes back cold, where the others have room, costs less than a tenth of what is served in time", () => {
    for (const seed of SEEDS) {
        const calm = worthShare(runModel(layered({ ...LIGHT, troubles: [] }), seededRandom(seed)).classes);
        const troubled = layered({ ...LIGHT, troubles: EVACUATE, coldLimits: COLD });
        const worth = worthShare(runModel(troubled, seededRandom(seed)).classes);
        assert.ok(worth >= 0.9 * calm, `seed ${seed}: ${worth} of ${calm}`);
    }
});

test("model: where all upstreams are cold after a restart, the most urgent class is served no worse than the others", () => {
    for (const seed of SEEDS) {
        const scenario = layered({ ...LIGHT, troubles: RESTART, coldLimits: COLD });
        const { classes } = runModel(scenario, seededRandom(seed));
        const shareOf = (name: string): number => {
            const { inTime, requests } = classes.find(one => one.name === name)!;
            return inTime / requests;
        };
        assert.ok(shareOf("order") >= Math.min(shareOf("view"), shareOf("work")), `seed ${seed}`);
    }
});
