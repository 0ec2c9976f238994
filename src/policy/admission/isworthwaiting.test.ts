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
    const gate = new Admission<Waiting>(
        new FixedLimit(2),
        new RuleTimes(),
        new LevelClock(2, 0),
        pace,
        new SendRate(new ColdGuard(0), new RequestLimit()),
    );
    for (let at = 0; at < 100; at++) {
        gate.arrive(createItem(), 0);
        gate.finish(workMs, { work: Float64Array.of(0, workMs, 0) }, 0);
    }
    return gate;
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
    const gate = createAdmission(220, pace);
    reportSlowdown(pace, 100);
    assert.equal(gate.arrive(createItem(), 100).type, "wait");
    assert.deepEqual(gate.next(101).run, []);
    assert.equal(gate.isWaitingForPace(101), true);
    pace.observe(1, 120);
    assert.equal(gate.next(120).run.length, 1);
    pace.observe(5, 140);
    assert.equal(gate.arrive(createItem(), 140).type, "wait");
    assert.equal(gate.next(500).run.length, 1);
});

test("pace: short work starts while the upstream is slow", () => {
    const pace = new Pace();
    const gate = createAdmission(20, pace);
    reportSlowdown(pace, 100);
    assert.equal(gate.arrive(createItem(), 100).type, "run");
});

test("pace: an expired request is released while the upstream is slow", () => {
    const pace = new Pace();
    const gate = createAdmission(220, pace);
    reportSlowdown(pace, 100);
    gate.arrive(createItem(900), 100);
    pace.observe(5, 899);
    assert.equal(gate.next(901).late.length, 1);
});

test("pace: the duration of slow periods is learned only from reports in close succession", () => {
    const pace = new Pace();
    for (let spell = 0; spell < 60; spell++) {
        const start = spell * 1000;
        pace.observe(1, start);
        for (let at = 0; at <= 60; at += 20) {
            pace.observe(5, start + 20 + at);
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
    const gate = createAdmission(220, pace);
    reportSlowdown(pace, 100);
    let began: number | undefined;
    gate.arrive(createItem(), 100);
    for (let now = 100; began === undefined && now < 5000; now += 20) {
        pace.observe(5, now);
        began = gate.next(now).run.length > 0 ? now : undefined;
    }
    assert.ok(began !== undefined && began - 100 > 700 && began - 100 <= 900, String(began));
    assert.equal(gate.arrive(createItem(), began).type, "run");
    gate.finish(undefined, undefined, began);
    pace.observe(5, 5000);
    assert.equal(gate.arrive(createItem(), 5000).type, "run");
});
