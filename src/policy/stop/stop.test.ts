import fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import { acceptsWhileStopping } from "./acceptswhilestopping.js";
import { planStop } from "./planstop.js";
import { stoppingRetryAfterMs } from "./stoppingretryafterms.js";

/** From this share of the grace time on, a request that is still running may be cut off. */
const MIN_LIMIT_SHARE = 5 / 6;

const graceTimes = fc.double({ min: 1, max: 3600, noNaN: true });
const settings = fc.record({
    lingerMs: fc.integer({ min: 1, max: 60_000 }),
    limitMs: fc.integer({ min: 1, max: 60_000 }),
    graceS: fc.option(graceTimes, { nil: undefined }),
});

test("stop schedule: the stop lingers, then finishes its requests, then exits", () => {
    fc.assert(fc.property(settings, fc.integer({ min: 0, max: 1e9 }), (stop, startedAt) => {
        const { lingerEndsAt, limitAt, exitAt } = planStop(stop, startedAt);
        assert.ok(startedAt < lingerEndsAt && lingerEndsAt < limitAt && limitAt < exitAt);
    }));
});

test("stop schedule: requests get all of the grace time but its last part, and the process ends within it", () => {
    fc.assert(fc.property(graceTimes, graceS => {
        const { limitAt, exitAt } = planStop({ lingerMs: 2600, limitMs: 1600, graceS }, 0);
        assert.ok(limitAt >= MIN_LIMIT_SHARE * graceS * 1000 && exitAt < graceS * 1000);
    }));
});

test("stop schedule: without a grace time, the limit applies after the linger time", () => {
    assert.equal(planStop({ lingerMs: 500, limitMs: 2000 }, 100).limitAt, 2600);
});

// Guards against requests that are accepted late in a stop and cut off by its end.
test("stop admission: after the linger time, a request is accepted exactly if it ends before the limit", () => {
    const schedule = { lingerEndsAt: 2600, limitAt: 5250, exitAt: 5600 };
    const accepts = (now: number, deadline: number): boolean =>
        acceptsWhileStopping({ depth: 0, deadline }, schedule, now);
    assert.equal(accepts(2599, 9000), true);
    assert.equal(accepts(2600, 5250), true);
    assert.equal(accepts(2600, 5251), false);
    assert.equal(accepts(5000, 5250), true);
});

test("stop admission: the calls of a running request are accepted", () => {
    const schedule = { lingerEndsAt: 2600, limitAt: 5250, exitAt: 5600 };
    assert.equal(acceptsWhileStopping({ depth: 1, deadline: 9000 }, schedule, 5000), true);
});

test("stop admission: a refused caller is asked to return when the process has ended", () => {
    const schedule = { lingerEndsAt: 2600, limitAt: 5250, exitAt: 5600 };
    assert.equal(stoppingRetryAfterMs(schedule, 4000), 1600);
    assert.equal(stoppingRetryAfterMs(schedule, 5600), 250);
});
