import assert from "node:assert/strict";
import { test } from "node:test";
import { LivenessCheck } from "./livenesscheck.js";

const known = { outstanding: 1, serviceMs: 10, respondsToPings: true, isSuspected: false };

test("liveness: a gate without outstanding requests is not pinged", () => {
    const liveness = new LivenessCheck();
    assert.deepEqual(liveness.decide({ ...known, outstanding: 0 }, 10_000), { type: "none" });
});

test("liveness: an unresponsive gate is pinged twice and then suspected", () => {
    const liveness = new LivenessCheck();
    liveness.recordSent(0);
    assert.deepEqual(liveness.decide(known, 150), { type: "none" });
    assert.deepEqual(liveness.decide(known, 151), { type: "ping", why: "silent" });
    liveness.recordPing(151);
    assert.deepEqual(liveness.decide(known, 301), { type: "none" });
    assert.deepEqual(liveness.decide(known, 302), { type: "ping", why: "unanswered" });
    liveness.recordPing(302);
    assert.deepEqual(liveness.decide(known, 453), { type: "suspect" });
});

test("liveness: a gate whose upstream has long service times is pinged later", () => {
    const liveness = new LivenessCheck();
    liveness.recordSent(0);
    assert.deepEqual(liveness.decide({ ...known, serviceMs: 400 }, 600), { type: "none" });
    assert.deepEqual(liveness.decide({ ...known, serviceMs: 400 }, 601), { type: "ping", why: "silent" });
});

test("liveness: nothing is due without outstanding requests, unanswered pings or suspicion", () => {
    const liveness = new LivenessCheck();
    const idle = { ...known, outstanding: 0 };
    assert.equal(liveness.isIdle(idle), true);
    assert.equal(liveness.isIdle(known), false);
    assert.equal(liveness.isIdle({ ...idle, isSuspected: true }), false);
    liveness.recordPing(0);
    assert.equal(liveness.isIdle(idle), false);
    liveness.recordAlive(0, 10);
    assert.equal(liveness.isIdle(idle), true);
    assert.equal(
        liveness.isIdle({ ...idle, respondsToPings: false }),
        false,
        "the gate responded but never answered a ping",
    );
});

test("liveness: a response restarts the timeout, and a gate that never responded to a ping is not suspected", () => {
    const liveness = new LivenessCheck();
    liveness.recordSent(0);
    liveness.recordAlive(1, 100);
    assert.deepEqual(liveness.decide(known, 250), { type: "none" });
    const neverResponded = { ...known, respondsToPings: false };
    assert.deepEqual(liveness.decide(neverResponded, 250), { type: "ping", why: "never-asked" });
    liveness.recordPing(251);
    assert.deepEqual(liveness.decide(neverResponded, 402), { type: "none" });
});

// Guards against requests that wait out their time limit at a gate that has never responded to anything.
test("liveness: an unresponsive gate that never responded to a ping is probed over a connection, once a second at most", () => {
    const liveness = new LivenessCheck();
    const neverResponded = { ...known, respondsToPings: false };
    liveness.recordSent(0);
    assert.deepEqual(liveness.decide(neverResponded, 150), { type: "none" });
    assert.deepEqual(liveness.decide(neverResponded, 151), { type: "ping", why: "silent-unknown" });
    liveness.recordPing(151);
    liveness.recordConnectionProbe(151);
    assert.deepEqual(liveness.decide(neverResponded, 302), { type: "none" });
    assert.deepEqual(liveness.decide(neverResponded, 453), { type: "ping", why: "silent" });
    assert.deepEqual(liveness.decide(neverResponded, 1151), { type: "ping", why: "silent-unknown" });
    assert.equal(liveness.hasResponded(0), false);
    liveness.recordAlive(1, 1200);
    assert.deepEqual([liveness.hasResponded(1200), liveness.hasResponded(1201)], [true, false]);
});

test("liveness: a request that is sent to a suspected gate makes it due for another probe over a connection", () => {
    const liveness = new LivenessCheck();
    const suspected = { ...known, respondsToPings: false, isSuspected: true };
    liveness.recordConnectionProbe(0);
    liveness.recordPing(1300);
    liveness.recordSent(1400);
    assert.deepEqual(liveness.decide(suspected, 1451), { type: "none" }, "the ping has timed out");
    assert.deepEqual(liveness.decide(suspected, 1500), { type: "ping", why: "suspected" });
    liveness.recordPing(1500);
    assert.deepEqual(liveness.decide(suspected, 1651), { type: "none" });
    assert.deepEqual(liveness.decide(suspected, 1700), { type: "ping", why: "silent-unknown" });
});
