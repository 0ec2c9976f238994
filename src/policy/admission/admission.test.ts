import assert from "node:assert/strict";
import { test } from "node:test";
import type { Priority } from "../../config/priority.js";
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

const createItem = (priority: Priority = "normal", team = "a", deadline = 10_000): QueuedRequest => ({
    priority,
    team: team as TeamName,
    deadline,
    maxWaitMs: 1000,
    choices: 0,
    nearChoices: 0,
});

const createAdmission = (slots: number): Admission<QueuedRequest> =>
    new Admission(
        new FixedLimit(slots),
        new RuleTimes(),
        new LevelClock(slots, 0),
        new Pace(),
        new SendRate(new ColdGuard(0), new StatedRateLimiter()),
    );

const finishRequest = (admission: Admission<QueuedRequest>, ms: number, now = 0): void =>
    admission.recordFinished(ms, { work: Float64Array.of(0, ms) }, now);

test("admission: runs requests up to the slots, then queues them, then refuses them", () => {
    const admission = createAdmission(1);
    assert.equal(admission.admit(createItem(), 0).type, "run");
    assert.equal(admission.admit(createItem(), 0).type, "wait");
    for (let index = 0; index < 15; index++) {
        admission.admit(createItem(), 0);
    }
    const decision = admission.admit(createItem(), 0);
    assert.equal(decision.type === "refuse" && decision.refusal.reason, "queue-full");
});

test("admission: refuses a request at once if it would wait past its deadline", () => {
    const admission = createAdmission(1);
    admission.admit(createItem(), 0);
    const decision = admission.admit(createItem("normal", "a", 6), 0);
    assert.equal(decision.type === "refuse" && decision.refusal.reason, "wait-too-long");
    assert.equal(admission.admit(createItem("normal", "a", 0), 0).type, "refuse");
});

test("admission: urgent requests go first, and background ones do not starve", () => {
    const admission = createAdmission(1);
    admission.admit(createItem(), 0);
    const background = createItem("background");
    admission.admit(background, 0);
    const order: Priority[] = [];
    for (let turn = 0; turn < 80; turn++) {
        admission.admit(createItem("urgent"), 0);
        finishRequest(admission, 1);
        order.push(admission.dequeue(0).run[0]!.priority);
    }
    assert.equal(order[0], "urgent");
    assert.ok(order.includes("background"));
});

test("admission: teams share the turns of a priority evenly", () => {
    const admission = createAdmission(1);
    admission.admit(createItem(), 0);
    for (let index = 0; index < 10; index++) {
        admission.admit(createItem("normal", "many"), 0);
    }
    admission.admit(createItem("normal", "few"), 0);
    const served: string[] = [];
    for (let turn = 0; turn < 3; turn++) {
        finishRequest(admission, 1);
        served.push(admission.dequeue(0).run[0]!.team);
    }
    assert.ok(served.includes("few"));
});

test("admission: a queued request whose deadline has passed is released as expired", () => {
    const admission = createAdmission(1);
    admission.admit(createItem(), 0);
    const queued = createItem("normal", "a", 100);
    admission.admit(queued, 0);
    finishRequest(admission, 1);
    assert.deepEqual(admission.dequeue(100), { run: [], expired: [queued] });
});

test("admission: a reserved slot serves only the request for which it is reserved", () => {
    const admission = createAdmission(1);
    assert.equal(admission.reserveSlot(0), true);
    assert.equal(admission.reserveSlot(0), false);
    assert.equal(admission.admit(createItem(), 0).type, "wait");
    const other = createAdmission(1);
    other.reserveSlot(0);
    assert.equal(other.admit(createItem(), 0, true).type, "run");
});

test("admission: a long wait is refused as busy while there are other choices, and queued otherwise", () => {
    const admission = createAdmission(2);
    admission.admit(createItem(), 0);
    admission.admit(createItem(), 0);
    const decision = admission.admit({ ...createItem(), choices: 1, nearChoices: 1 }, 0);
    assert.equal(decision.type === "refuse" && decision.refusal.reason, "busy");
    assert.equal(admission.admit(createItem(), 0).type, "wait");
});

test("admission: within a priority, the request with the earliest deadline goes first", () => {
    const admission = createAdmission(1);
    admission.admit(createItem(), 0);
    admission.admit(createItem("normal", "a", 900), 0);
    const earliest = createItem("normal", "a", 200);
    admission.admit(earliest, 0);
    finishRequest(admission, 1);
    assert.deepEqual(admission.dequeue(0).run, [earliest]);
});

test("admission: under a stated rate limit urgent requests go first, others are refused with a retry-after", () => {
    const limit = new StatedRateLimiter();
    limit.recordResponse({ type: "perSecond", perSecond: 4 }, { sentAt: -1, isHealth: false }, 0);
    const rate = new SendRate(new ColdGuard(0), limit);
    const admission = new Admission(new FixedLimit(10), new RuleTimes(), new LevelClock(10, 0), new Pace(), rate);
    const ran: Record<Priority, number> = { urgent: 0, normal: 0, background: 0 };
    for (let now = 0; now < 10_000; now += 100) {
        for (const priority of ["background", "urgent"] as const) {
            const decision = admission.admit({ ...createItem(priority, "a", now + 1000), maxWaitMs: 0 }, now);
            assert.notEqual(decision.type, "wait");
            if (decision.type === "run") {
                ran[priority] += 1;
                finishRequest(admission, 1, now);
            }
            else if (decision.type === "refuse") {
                assert.ok(decision.refusal.retryAfterMs > 0);
            }
        }
    }
    assert.ok(ran.urgent >= 32, `${ran.urgent} urgent`);
    assert.ok(ran.background >= 3 && ran.background <= 8, `${ran.background} others`);
});

test("admission: a queued request is refused once a stated rate limit would serve it too late", () => {
    const limit = new StatedRateLimiter();
    const rate = new SendRate(new ColdGuard(0), limit);
    const admission = new Admission(new FixedLimit(1), new RuleTimes(), new LevelClock(1, 0), new Pace(), rate);
    admission.admit(createItem(), 0);
    const queued = [createItem("normal", "a", 400), createItem("normal", "b", 10_000)];
    queued.forEach(each => assert.equal(admission.admit(each, 0).type, "wait"));
    limit.recordResponse({ type: "perSecond", perSecond: 2 }, { sentAt: -1, isHealth: false }, 10);
    assert.deepEqual(admission.reevaluate(10).map(refused => refused.item), [queued[0]]);
    assert.equal(admission.queued, 1);
});

// Guards against less urgent requests that take the rate of one upstream while urgent ones are refused at another:
// these were refused as too long a wait, which ends a request, rather than for the rate, which redirects it.
test("admission: a request that would wait too long only because of the rate is refused as limited", () => {
    const limit = new StatedRateLimiter();
    limit.recordResponse({ type: "perSecond", perSecond: 4 }, { sentAt: -1, isHealth: false }, 0);
    const rate = new SendRate(new ColdGuard(0), limit);
    const admission = new Admission(new FixedLimit(10), new RuleTimes(), new LevelClock(10, 0), new Pace(), rate);
    const decision = admission.admit({ ...createItem("urgent"), maxWaitMs: 100 }, 0);
    assert.equal(decision.type === "refuse" && decision.refusal.reason, "limited");
});

test("admission: a request that would wait too long for a slot is refused for that, also under a stated rate limit", () => {
    const limit = new StatedRateLimiter();
    limit.recordResponse({ type: "perSecond", perSecond: 400 }, { sentAt: -1, isHealth: false }, 0);
    const rate = new SendRate(new ColdGuard(0), limit);
    const times = new RuleTimes();
    times.observe(undefined, 500, 500);
    const admission = new Admission(new FixedLimit(1), times, new LevelClock(1, 0), new Pace(), rate);
    assert.equal(admission.admit(createItem(), 10).type, "run");
    const decision = admission.admit({ ...createItem(), maxWaitMs: 100 }, 20);
    assert.equal(decision.type === "refuse" && decision.refusal.reason, "wait-too-long");
});
