import assert from "node:assert/strict";
import { test } from "node:test";
import type { TeamName } from "../../ids/teamname.js";
import { ColdGuard } from "../cold/coldguard.js";
import { Pace } from "../failure/pace.js";
import { SendRate } from "../rate/sendrate.js";
import { StatedRateLimiter } from "../rate/statedratelimiter.js";
import { Admission } from "./admission.js";
import { FixedLimit } from "./fixedlimit.js";
import { LevelClock } from "./levelclock.js";
import type { QueuedRequest } from "./queuedrequest.js";
import { RuleTimes } from "./ruletimes.js";
import { shouldWaitForPace } from "./shouldwaitforpace.js";

const createItem = (deadline = 10_000): QueuedRequest => ({
    priority: "normal",
    team: "a" as TeamName,
    deadline,
    maxWaitMs: 1000,
    choices: 0,
    nearChoices: 0,
});

/** Creates the admission of a gate with two slots whose requests take `workMs`, before any report of the pace. */
const createAdmission = (workMs: number, pace: Pace): Admission<QueuedRequest> => {
    const admission = new Admission<QueuedRequest>(
        new FixedLimit(2),
        new RuleTimes(),
        new LevelClock(2, 0),
        pace,
        new SendRate(new ColdGuard(0), new StatedRateLimiter()),
    );
    for (let index = 0; index < 100; index++) {
        admission.admit(createItem(), 0);
        admission.recordFinished(workMs, { work: Float64Array.of(0, workMs, 0) }, 0);
    }
    return admission;
};

const reportSlowdown = (pace: Pace, now: number): void => {
    pace.observe(1, now - 1);
    pace.observe(5, now);
};

test("pace: long work waits while its upstream is slow, short work does not", () => {
    assert.equal(shouldWaitForPace({ workMs: 220, slowdown: 5, slowForMs: 150 }), true);
    assert.equal(shouldWaitForPace({ workMs: 24, slowdown: 4, slowForMs: 300 }), false);
    assert.equal(shouldWaitForPace({ workMs: 220, slowdown: 1, slowForMs: 150 }), false);
});

test("pace: a gate keeps a slot free while its upstream is slow, until it recovers or its report is stale", () => {
    const pace = new Pace();
    const admission = createAdmission(220, pace);
    reportSlowdown(pace, 100);
    assert.equal(admission.admit(createItem(), 100).type, "wait");
    assert.deepEqual(admission.dequeue(101).run, []);
    assert.equal(admission.isWaitingForPace(101), true);
    pace.observe(1, 120);
    assert.equal(admission.dequeue(120).run.length, 1);
    pace.observe(5, 140);
    assert.equal(admission.admit(createItem(), 140).type, "wait");
    assert.equal(admission.dequeue(500).run.length, 1);
});

test("pace: short work starts while the upstream is slow", () => {
    const pace = new Pace();
    const admission = createAdmission(20, pace);
    reportSlowdown(pace, 100);
    assert.equal(admission.admit(createItem(), 100).type, "run");
});

test("pace: an expired request is released while the upstream is slow", () => {
    const pace = new Pace();
    const admission = createAdmission(220, pace);
    reportSlowdown(pace, 100);
    admission.admit(createItem(900), 100);
    pace.observe(5, 899);
    assert.equal(admission.dequeue(901).expired.length, 1);
});

test("pace: the duration of slow periods is learned only from reports in close succession", () => {
    const pace = new Pace();
    for (let period = 0; period < 60; period++) {
        const start = period * 1000;
        pace.observe(1, start);
        for (let offset = 0; offset <= 60; offset += 20) {
            pace.observe(5, start + 20 + offset);
        }
        pace.observe(1, start + 100);
    }
    assert.ok(Math.abs(pace.slowForMs(100_000) - 80) < 5, String(pace.slowForMs(100_000)));
    pace.observe(5, 100_000);
    pace.observe(1, 101_000);
    assert.ok(Math.abs(pace.slowForMs(101_000) - 80) < 5, String(pace.slowForMs(101_000)));
});

test("pace: an upstream that stays slow is used again after a wait no longer than the delay it would cause", () => {
    const pace = new Pace();
    const admission = createAdmission(220, pace);
    reportSlowdown(pace, 100);
    let startedAt: number | undefined;
    admission.admit(createItem(), 100);
    for (let now = 100; startedAt === undefined && now < 5000; now += 20) {
        pace.observe(5, now);
        startedAt = admission.dequeue(now).run.length > 0 ? now : undefined;
    }
    assert.ok(startedAt !== undefined && startedAt - 100 > 700 && startedAt - 100 <= 900, String(startedAt));
    assert.equal(admission.admit(createItem(), startedAt).type, "run");
    admission.recordFinished(undefined, undefined, startedAt);
    pace.observe(5, 5000);
    assert.equal(admission.admit(createItem(), 5000).type, "run");
});
