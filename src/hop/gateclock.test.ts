import fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import type { Incarnation } from "../ids/incarnation.js";
import { GateClock } from "./gateclock.js";

const firstIncarnation = "incarnation-1" as Incarnation;

test("gate clock: the most exact reading is kept, and one of a new incarnation replaces it", () => {
    const clock = new GateClock();
    assert.equal(clock.estimate(0), undefined);
    clock.observe(firstIncarnation, 1000, { askedAt: 0, now: 40 });
    clock.observe(firstIncarnation, 1020, { askedAt: 50, now: 90 });
    assert.equal(clock.estimate(100), 1060, "the second reading took longer to arrive");
    clock.observe(firstIncarnation, 1098, { askedAt: 100, now: 130 });
    assert.equal(clock.estimate(130), 1098);
    clock.observe("incarnation-2" as Incarnation, 5, { askedAt: 130, now: 140 });
    assert.deepEqual([clock.incarnation, clock.estimate(150)], ["incarnation-2", 15]);
});

test("gate clock: the next reading corrects the estimate after the gate's clock was paused", () => {
    const clock = new GateClock();
    clock.observe(firstIncarnation, 1000, { askedAt: 0, now: 0 });
    const pauseMs = 5000;
    clock.observe(firstIncarnation, 7000 - pauseMs, { askedAt: 5990, now: 6010 });
    assert.equal(clock.estimate(6010), 7000 - pauseMs);
});

test("gate clock: with a slower gate clock, the estimate is ahead by at most the request's transit time", () => {
    const hourMs = 3_600_000;
    const clockRate = 1 - 50e-6;
    const clock = new GateClock();
    for (let now = 0; now <= 24 * hourMs; now += hourMs) {
        clock.observe(firstIncarnation, (now + 10) * clockRate, { askedAt: now, now: now + 20 });
    }
    assert.ok(clock.estimate(24 * hourMs + 20)! <= (24 * hourMs + 20) * clockRate + 10);
});

const readings = fc.array(
    fc.record({
        idleMs: fc.nat(500),
        requestMs: fc.nat(200),
        responseMs: fc.nat(200),
        pausedMs: fc.constantFrom(0, 0, 0, 3000),
    }),
    { minLength: 1, maxLength: 30 },
);

test("gate clock: after a reading, the error is at most the transit time of its request or response", () => {
    fc.assert(
        fc.property(readings, sequence => {
            const clock = new GateClock();
            let [now, gateTime] = [0, 700];
            for (const { idleMs, requestMs, responseMs, pausedMs } of sequence) {
                now += idleMs;
                gateTime += Math.max(0, idleMs - pausedMs);
                const askedAt = now;
                now += requestMs + responseMs;
                clock.observe(firstIncarnation, gateTime + requestMs, { askedAt, now });
                gateTime += requestMs + responseMs;
                const aheadMs = clock.estimate(now)! - gateTime;
                assert.ok(aheadMs <= requestMs, `${aheadMs} ms ahead of the gate's clock`);
                assert.ok(-aheadMs <= responseMs, `${-aheadMs} ms behind the gate's clock`);
            }
        }),
        { seed: 34, numRuns: 2000 },
    );
});
