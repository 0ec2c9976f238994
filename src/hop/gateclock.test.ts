import fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import type { Incarnation } from "../ids/incarnation.js";
import { GateClock } from "./gateclock.js";

const life = "life-1" as Incarnation;

test("gate clock: the closest of the readings is kept, and one of another life goes before", () => {
    const clock = new GateClock();
    assert.equal(clock.reckon(0), undefined);
    clock.observe(life, 1000, { askedAt: 0, now: 40 });
    clock.observe(life, 1020, { askedAt: 50, now: 90 });
    assert.equal(clock.reckon(100), 1060, "the second one was longer on its way");
    clock.observe(life, 1098, { askedAt: 100, now: 130 });
    assert.equal(clock.reckon(130), 1098);
    clock.observe("life-2" as Incarnation, 5, { askedAt: 130, now: 140 });
    assert.deepEqual([clock.incarnation, clock.reckon(150)], ["life-2", 15]);
});

test("gate clock: one that has stood still is found at its next reading", () => {
    const clock = new GateClock();
    clock.observe(life, 1000, { askedAt: 0, now: 0 });
    const stoodStillMs = 5000;
    clock.observe(life, 7000 - stoodStillMs, { askedAt: 5990, now: 6010 });
    assert.equal(clock.reckon(6010), 7000 - stoodStillMs);
});

test("gate clock: never later than the truth by more than a reading was on its way, for as long as both live, if the gate's goes slower", () => {
    const hour = 3_600_000;
    const slower = 1 - 50e-6;
    const clock = new GateClock();
    for (let now = 0; now <= 24 * hour; now += hour) {
        clock.observe(life, (now + 10) * slower, { askedAt: now, now: now + 20 });
    }
    assert.ok(clock.reckon(24 * hour + 20)! <= (24 * hour + 20) * slower + 10);
});

const readings = fc.array(
    fc.record({
        restMs: fc.nat(500),
        thereMs: fc.nat(200),
        backMs: fc.nat(200),
        stillMs: fc.constantFrom(0, 0, 0, 3000),
    }),
    { minLength: 1, maxLength: 30 },
);

test("gate clock: after a reading it is later than the truth by no more than the reading took, and earlier by no more than it was on its way", () => {
    fc.assert(
        fc.property(readings, all => {
            const clock = new GateClock();
            let [now, gateTime] = [0, 700];
            for (const { restMs, thereMs, backMs, stillMs } of all) {
                now += restMs;
                gateTime += Math.max(0, restMs - stillMs);
                const askedAt = now;
                now += thereMs + backMs;
                clock.observe(life, gateTime + thereMs, { askedAt, now });
                gateTime += thereMs + backMs;
                const ahead = clock.reckon(now)! - gateTime;
                assert.ok(ahead <= thereMs, `${ahead} ms later than the truth`);
                assert.ok(-ahead <= backMs, `${-ahead} ms earlier than the truth`);
            }
        }),
        { seed: 34, numRuns: 2000 },
    );
});
