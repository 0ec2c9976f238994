import fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import { ColdGuard } from "./coldguard.js";
import type { ColdLimits } from "./coldlimits.js";

const SECOND_MS = 1000;

const createLimits = (perSecond: number, overage = 1.5, slack = 8): ColdLimits => ({
    perSecond,
    overage,
    slack,
    startMs: 3000,
});
const maxPerSecond = ({ perSecond, overage, slack }: ColdLimits): number => perSecond * overage + slack;

/** Returns the maximum number of these times within one second. */
const maxInOneSecond = (times: readonly number[]): number => {
    let max = 0;
    let first = 0;
    times.forEach((time, index) => {
        while (time - times[first]! > SECOND_MS) {
            first += 1;
        }
        max = Math.max(max, index - first + 1);
    });
    return max;
};

type Load = {
    readonly arrivalIntervalMs: number;
    /** How long the probes take, in turn. */
    readonly probeMs: readonly number[];
    /** When the upstream turns cold, and for how long. */
    readonly coldAt: number;
    readonly coldMs: number;
};

/**
 * Returns when requests are sent to an upstream that turns cold without notice; those that may not be sent are dropped.
 */
const simulateSends = ({ arrivalIntervalMs, probeMs, coldAt, coldMs }: Load, limits: ColdLimits): number[] => {
    const guard = new ColdGuard(-SECOND_MS * 10, limits);
    const coldRemainingAt = (now: number): number => now < coldAt ? 0 : Math.max(0, coldAt + coldMs - now);
    const sent: number[] = [];
    let probe: { readonly sentAt: number; readonly endsAt: number; readonly coldMs: number; } | undefined;
    let probeCount = 0;
    for (let now = 0; now < 8 * SECOND_MS; now += 1) {
        if (probe !== undefined && now >= probe.endsAt) {
            guard.recordProbeResponse(probe.coldMs, probe.sentAt, now);
            probe = undefined;
        }
        if (probe === undefined && guard.shouldProbe(now)) {
            const durationMs = probeMs[probeCount++ % probeMs.length]!;
            const stateAt = now + Math.floor(durationMs / 2);
            probe = { sentAt: now, endsAt: now + durationMs, coldMs: coldRemainingAt(stateAt) };
            guard.recordProbe(now);
        }
        if (now % arrivalIntervalMs === 0 && guard.canSend(now)) {
            guard.recordSent(now);
            sent.push(now);
        }
    }
    return sent;
};

test("cold: an upstream that turns cold gets at most its bound in any second, however late it is detected", () => {
    fc.assert(fc.property(
        fc.record({
            arrivalIntervalMs: fc.integer({ min: 1, max: 60 }),
            probeMs: fc.array(fc.integer({ min: 1, max: 250 }), { minLength: 1, maxLength: 5 }),
            coldAt: fc.integer({ min: -1000, max: 6000 }),
            coldMs: fc.integer({ min: 1, max: 4000 }),
        }),
        fc.integer({ min: 1, max: 40 }),
        (load, perSecond) => {
            const bound = createLimits(perSecond);
            const times = simulateSends(load, bound).filter(sentAt =>
                sentAt >= load.coldAt && sentAt < load.coldAt + load.coldMs
            );
            assert.ok(
                maxInOneSecond(times) <= maxPerSecond(bound),
                `${maxInOneSecond(times)} of ${maxPerSecond(bound)}`,
            );
        },
    ));
});

test("cold: a warm upstream gets all requests while it responds to probes in time", () => {
    const load = { arrivalIntervalMs: 8, probeMs: [5, 20], coldAt: 1e9, coldMs: 0 };
    const sent = simulateSends(load, createLimits(11.2));
    assert.equal(sent.length, 8 * SECOND_MS / load.arrivalIntervalMs);
});

test("cold: a cold upstream gets at least the rate that it can serve, evenly, and all requests once warm", () => {
    const load = { arrivalIntervalMs: 8, probeMs: [5], coldAt: 2000, coldMs: 3000 };
    const sent = simulateSends(load, createLimits(11.2));
    const between = (from: number, to: number): number => sent.filter(sentAt => sentAt >= from && sentAt < to).length;
    const quarters = [3000, 3250, 3500, 3750, 4000, 4250, 4500, 4750].map(from => between(from, from + 250));
    assert.ok(Math.max(...quarters) - Math.min(...quarters) <= 1, quarters.join());
    assert.ok(between(3000, 5000) >= 2 * 11.2, quarters.join());
    assert.equal(between(6000, 8000), 250);
});

test("cold: an upstream that reports no cold time is assumed cold for the start time, then warm", () => {
    const guard = new ColdGuard(0, createLimits(10));
    guard.recordProbeResponse(undefined, 100, 110);
    assert.equal(guard.isCold(2999), true);
    assert.equal(guard.isCold(3000), false);
    guard.recordProbeResponse(undefined, 3100, 3110);
    assert.equal(guard.isCold(3110), false);
});

test("cold: without limits no probe is sent and no request held back", () => {
    const guard = new ColdGuard(0);
    for (let now = 0; now < 1000; now++) {
        assert.equal(guard.canSend(now) && !guard.shouldProbe(now), true);
        guard.recordSent(now);
    }
    guard.recordProbeResponse(3000, 1000, 1001);
    assert.equal(guard.perSecond(1002), undefined);
});

test("cold: changed limits apply at once", () => {
    const guard = new ColdGuard(0);
    guard.setLimits(createLimits(1, 1, 0));
    guard.recordProbeResponse(5000, 0, 0);
    guard.recordSent(0);
    assert.equal(guard.canSend(500), false);
    assert.equal(guard.canSend(1100), true);
    guard.setLimits(undefined);
    assert.equal(guard.canSend(0), true);
});
