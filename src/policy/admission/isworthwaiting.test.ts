import assert from "node:assert/strict";
import { test } from "node:test";
import type { TeamName } from "../../ids/teamname.js";
import { ColdGuard } from "../cold/coldguard.js";
import { Pace } from "../failure/pace.js";
import { RequestLimit } from "../rate/requestlimit.js";
import { SendRate } from "../rate/sendrate.js";
import { Admission } from "./admission.js";
import { FixedLimit } from "./fixedlimit.js";
import { isWorthWaiting } from "./isworthwaiting.js";
import { LevelClock } from "./levelclock.js";
import { RuleTimes } from "./ruletimes.js";
import type { Waiting } from "./waiting.js";

const createItem = (deadline = 10_000): Waiting => ({
    priority: "normal",
    team: "a" as TeamName,
    deadline,
    maxWaitMs: 1000,
    choices: 0,
    nearChoices: 0,
});

/** Creates the admission of a gate with two slots whose requests take `workMs`, before any report of the pace. */
const createAdmission = (workMs: number, pace: Pace): Admission<Waiting> => {
    const admission = new Admission<Waiting>(
        new FixedLimit(2),
        new RuleTimes(),
        new LevelClock(2, 0),
        pace,
        new SendRate(new ColdGuard(0), new RequestLimit()),
    );
    for (let index = 0; index < 100; index++) {
        admission.arrive(createItem(), 0);
        admission.finish(workMs, { work: Float64Array.of(0, workMs, 0) }, 0);
    }
    return admission;
};

const reportSlowdown = (pace: Pace, now: number): void => {
    pace.observe(1, now - 1);
    pace.observe(5, now);
};

test("pace: long work waits while its upstream is slow, short work does not", () => {
    assert.equal(isWorthWaiting({ workMs: 220, slowdown: 5, spellMs: 150 }), true);
    assert.equal(isWorthWaiting({ workMs: 24, slowdown: 4, spellMs: 300 }), false);
    assert.equal(isWorthWaiting({ workMs: 220, slowdown: 1, spellMs: 150 }), false);
});

test("pace: a gate keeps a slot free while its upstream is slow, until it recovers or its report is stale", () => {
    const pace = new Pace();
    const admission = createAdmission(220, pace);
    reportSlowdown(pace, 100);
    assert.equal(admission.arrive(createItem(), 100).type, "wait");
    assert.deepEqual(admission.next(101).run, []);
    assert.equal(admission.isWaitingForPace(101), true);
    pace.observe(1, 120);
    assert.equal(admission.next(120).run.length, 1);
    pace.observe(5, 140);
    assert.equal(admission.arrive(createItem(), 140).type, "wait");
    assert.equal(admission.next(500).run.length, 1);
});

test("pace: short work starts while the upstream is slow", () => {
    const pace = new Pace();
    const admission = createAdmission(20, pace);
    reportSlowdown(pace, 100);
    assert.equal(admission.arrive(createItem(), 100).type, "run");
});

test("pace: an expired request is released while the upstream is slow", () => {
    const pace = new Pace();
    const admission = createAdmission(220, pace);
    reportSlowdown(pace, 100);
    admission.arrive(createItem(900), 100);
    pace.observe(5, 899);
    assert.equal(admission.next(901).late.length, 1);
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
    assert.ok(Math.abs(pace.spellMs(100_000) - 80) < 5, String(pace.spellMs(100_000)));
    pace.observe(5, 100_000);
    pace.observe(1, 101_000);
    assert.ok(Math.abs(pace.spellMs(101_000) - 80) < 5, String(pace.spellMs(101_000)));
});

test("pace: an upstream that stays slow is used again after a wait no longer than the delay it would cause", () => {
    const pace = new Pace();
    const admission = createAdmission(220, pace);
    reportSlowdown(pace, 100);
    let startedAt: number | undefined;
    admission.arrive(createItem(), 100);
    for (let now = 100; startedAt === undefined && now < 5000; now += 20) {
        pace.observe(5, now);
        startedAt = admission.next(now).run.length > 0 ? now : undefined;
    }
    assert.ok(startedAt !== undefined && startedAt - 100 > 700 && startedAt - 100 <= 900, String(startedAt));
    assert.equal(admission.arrive(createItem(), startedAt).type, "run");
    admission.finish(undefined, undefined, startedAt);
    pace.observe(5, 5000);
    assert.equal(admission.arrive(createItem(), 5000).type, "run");
});
