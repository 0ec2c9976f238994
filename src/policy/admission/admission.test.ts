import assert from "node:assert/strict";
import { test } from "node:test";
import type { Priority } from "../../config/priority.js";
import type { TeamName } from "../../ids/teamname.js";
import { ColdGuard } from "../cold/coldguard.js";
import { Pace } from "../failure/pace.js";
import { RequestLimit } from "../rate/requestlimit.js";
import { SendRate } from "../rate/sendrate.js";
import { Admission } from "./admission.js";
import { FixedLimit } from "./fixedlimit.js";
import { LevelClock } from "./levelclock.js";
import { RuleTimes } from "./ruletimes.js";
import type { Waiting } from "./waiting.js";

const item = (priority: Priority = "normal", team = "a", deadline = 10_000): Waiting => ({
    priority,
    team: team as TeamName,
    deadline,
    maxWaitMs: 1000,
    choices: 0,
    nearChoices: 0,
});

const admission = (slots: number): Admission<Waiting> =>
    new Admission(
        new FixedLimit(slots),
        new RuleTimes(),
        new LevelClock(slots, 0),
        new Pace(),
        new SendRate(new ColdGuard(0), new RequestLimit()),
    );

const finish = (gate: Admission<Waiting>, ms: number, now = 0): void =>
    gate.finish(ms, { work: Float64Array.of(0, ms) }, now);

test("admission: runs up to its slots, then waits, then refuses", () => {
    const gate = admission(1);
    assert.equal(gate.arrive(item(), 0).type, "run");
    assert.equal(gate.arrive(item(), 0).type, "wait");
    for (let at = 0; at < 15; at++) {
        gate.arrive(item(), 0);
    }
    const verdict = gate.arrive(item(), 0);
    assert.equal(verdict.type === "refuse" && verdict.refusal.reason, "queue-full");
});

test("admission: refuses at once what would wait past its time", () => {
    const gate = admission(1);
    gate.arrive(item(), 0);
    const verdict = gate.arrive(item("normal", "a", 6), 0);
    assert.equal(verdict.type === "refuse" && verdict.refusal.reason, "wait-too-long");
    assert.equal(gate.arrive(item("normal", "a", 0), 0).type, "refuse");
});

test("admission: urgent goes first and background is not starved", () => {
    const gate = admission(1);
    gate.arrive(item(), 0);
    const background = item("background");
    gate.arrive(background, 0);
    const order: Priority[] = [];
    for (let turn = 0; turn < 80; turn++) {
        gate.arrive(item("urgent"), 0);
        finish(gate, 1);
        order.push(gate.next(0).run[0]!.priority);
    }
    assert.equal(order[0], "urgent");
    assert.ok(order.includes("background"));
});

test("admission: teams of a class share evenly", () => {
    const gate = admission(1);
    gate.arrive(item(), 0);
    for (let at = 0; at < 10; at++) {
        gate.arrive(item("normal", "many"), 0);
    }
    gate.arrive(item("normal", "few"), 0);
    const served: string[] = [];
    for (let turn = 0; turn < 3; turn++) {
        finish(gate, 1);
        served.push(gate.next(0).run[0]!.team);
    }
    assert.ok(served.includes("few"));
});

test("admission: what has waited past its deadline comes out as late", () => {
    const gate = admission(1);
    gate.arrive(item(), 0);
    const waiting = item("normal", "a", 100);
    gate.arrive(waiting, 0);
    finish(gate, 1);
    assert.deepEqual(gate.next(100), { run: [], late: [waiting] });
});

test("admission: a held slot is for the offer alone", () => {
    const gate = admission(1);
    assert.equal(gate.hold(0), true);
    assert.equal(gate.hold(0), false);
    assert.equal(gate.arrive(item(), 0).type, "wait");
    const other = admission(1);
    other.hold(0);
    assert.equal(other.arrive(item(), 0, true).type, "run");
});

test("admission: what would wait long and can go elsewhere is told so, and the last gate lets it wait", () => {
    const gate = admission(2);
    gate.arrive(item(), 0);
    gate.arrive(item(), 0);
    const verdict = gate.arrive({ ...item(), choices: 1, nearChoices: 1 }, 0);
    assert.equal(verdict.type === "refuse" && verdict.refusal.reason, "busy");
    assert.equal(gate.arrive(item(), 0).type, "wait");
});

test("admission: of one class, the request whose time is up first goes first", () => {
    const gate = admission(1);
    gate.arrive(item(), 0);
    gate.arrive(item("normal", "a", 900), 0);
    const short = item("normal", "a", 200);
    gate.arrive(short, 0);
    finish(gate, 1);
    assert.deepEqual(gate.next(0).run, [short]);
});

test("admission: an upstream that states a limit gets the urgent first; the others are refused at once, with when to come back", () => {
    const limit = new RequestLimit();
    limit.recordAnswer({ type: "perSecond", perSecond: 4 }, { sentAt: -1, isHealth: false }, 0);
    const rate = new SendRate(new ColdGuard(0), limit);
    const gate = new Admission(new FixedLimit(10), new RuleTimes(), new LevelClock(10, 0), new Pace(), rate);
    const ran: Record<Priority, number> = { urgent: 0, normal: 0, background: 0 };
    for (let now = 0; now < 10_000; now += 100) {
        for (const priority of ["background", "urgent"] as const) {
            const verdict = gate.arrive({ ...item(priority, "a", now + 1000), maxWaitMs: 0 }, now);
            assert.notEqual(verdict.type, "wait");
            if (verdict.type === "run") {
                ran[priority] += 1;
                finish(gate, 1, now);
            }
            else if (verdict.type === "refuse") {
                assert.ok(verdict.refusal.retryAfterMs > 0);
            }
        }
    }
    assert.ok(ran.urgent >= 32, `${ran.urgent} urgent`);
    assert.ok(ran.background >= 3 && ran.background <= 8, `${ran.background} others`);
});

test("admission: what waits is refused at once when its upstream states a limit by which it would not be served in time", () => {
    const limit = new RequestLimit();
    const rate = new SendRate(new ColdGuard(0), limit);
    const gate = new Admission(new FixedLimit(1), new RuleTimes(), new LevelClock(1, 0), new Pace(), rate);
    gate.arrive(item(), 0);
    const waiting = [item("normal", "a", 400), item("normal", "b", 10_000)];
    waiting.forEach(each => assert.equal(gate.arrive(each, 0).type, "wait"));
    limit.recordAnswer({ type: "perSecond", perSecond: 2 }, { sentAt: -1, isHealth: false }, 10);
    assert.deepEqual(gate.reconsider(10).map(refused => refused.item), [waiting[0]]);
    assert.equal(gate.waiting, 1);
});
