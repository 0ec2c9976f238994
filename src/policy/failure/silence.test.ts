import assert from "node:assert/strict";
import { test } from "node:test";
import { Silence } from "./silence.js";

const known = { outstanding: 1, serviceMs: 10, answersPings: true, isSuspected: false };

test("silence: a gate that owes no answer is not asked", () => {
    const silence = new Silence();
    assert.deepEqual(silence.decide({ ...known, outstanding: 0 }, 10_000), { type: "none" });
});

test("silence: a gate that owes one is asked after an unusual silence, twice, and then suspected", () => {
    const silence = new Silence();
    silence.sent(0);
    assert.deepEqual(silence.decide(known, 150), { type: "none" });
    assert.deepEqual(silence.decide(known, 151), { type: "ping", why: "silent" });
    silence.pinged(151);
    assert.deepEqual(silence.decide(known, 301), { type: "none" });
    assert.deepEqual(silence.decide(known, 302), { type: "ping", why: "unanswered" });
    silence.pinged(302);
    assert.deepEqual(silence.decide(known, 453), { type: "suspect" });
});

test("silence: where answers usually take long, it begins later", () => {
    const silence = new Silence();
    silence.sent(0);
    assert.deepEqual(silence.decide({ ...known, serviceMs: 400 }, 600), { type: "none" });
    assert.deepEqual(silence.decide({ ...known, serviceMs: 400 }, 601), { type: "ping", why: "silent" });
});

test("silence: nothing is due where nothing is owed, asked or doubted", () => {
    const silence = new Silence();
    const quiet = { ...known, outstanding: 0 };
    assert.equal(silence.isSettled(quiet), true);
    assert.equal(silence.isSettled(known), false);
    assert.equal(silence.isSettled({ ...quiet, isSuspected: true }), false);
    silence.pinged(0);
    assert.equal(silence.isSettled(quiet), false);
    silence.heard(0, 10);
    assert.equal(silence.isSettled(quiet), true);
    assert.equal(silence.isSettled({ ...quiet, answersPings: false }), false, "heard, and never asked");
});

test("silence: a sign of life ends it, and a gate that never answered a ping is not suspected", () => {
    const silence = new Silence();
    silence.sent(0);
    silence.heard(1, 100);
    assert.deepEqual(silence.decide(known, 250), { type: "none" });
    const stranger = { ...known, answersPings: false };
    assert.deepEqual(silence.decide(stranger, 250), { type: "ping", why: "never-asked" });
    silence.pinged(251);
    assert.deepEqual(silence.decide(stranger, 402), { type: "none" });
});
