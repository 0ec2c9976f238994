import assert from "node:assert/strict";
import { test } from "node:test";
import type { Address } from "../../ids/address.js";
import { PullSchedule } from "./pullschedule.js";

const A = "10.0.0.1:1" as Address;
const B = "10.0.0.2:1" as Address;
const C = "10.0.0.3:1" as Address;

test("pull schedule: one peer is asked at a time, and no other one once the revision is in force", () => {
    const schedule = new PullSchedule();
    schedule.announce(A, 5, 0);
    schedule.announce(B, 5, 0);
    assert.equal(schedule.start(4, 0), A);
    assert.equal(schedule.start(4, 0), undefined);
    schedule.recordResponse(A);
    assert.equal(schedule.start(4, 5000), undefined, "a response that is being received is waited for");
    assert.equal(schedule.nextStartAt(5000), undefined);
    schedule.end(A, true, 5000);
    assert.equal(schedule.start(5, 5000), undefined);
    assert.equal(schedule.isIdle, true);
});

// Guards against a change that is announced during a pull and pulled with the next heartbeat only, seconds later.
test("pull schedule: a revision that is announced during a pull is pulled when that pull has ended", () => {
    const schedule = new PullSchedule();
    schedule.announce(A, 5, 0);
    assert.equal(schedule.start(4, 0), A);
    schedule.announce(A, 6, 10);
    schedule.announce(B, 6, 20);
    schedule.end(A, true, 30);
    assert.equal(schedule.start(5, 30), A);
    schedule.end(A, true, 40);
    assert.equal(schedule.start(6, 40), undefined);
    assert.equal(schedule.isIdle, true);
});

// Guards against a peer that is cut off or stopped, and delays a change by the whole time limit of a call.
test("pull schedule: if a peer does not respond, one other peer is asked beside it", () => {
    const schedule = new PullSchedule();
    [A, B, C].forEach(peer => schedule.announce(peer, 5, 0));
    assert.equal(schedule.start(4, 0), A);
    assert.equal(schedule.nextStartAt(0), 300);
    assert.equal(schedule.start(4, 299), undefined);
    assert.equal(schedule.start(4, 300), B);
    assert.equal(schedule.start(4, 9000), undefined, "two pulls run");
    schedule.end(B, true, 400);
    assert.equal(schedule.start(5, 400), undefined);
    schedule.end(A, false, 1300);
    assert.equal(schedule.start(5, 1300), undefined);
    assert.equal(schedule.isIdle, true);
});

test("pull schedule: a failed pull is repeated from the other peers first, and from each at most twice", () => {
    const schedule = new PullSchedule();
    schedule.announce(A, 5, 0);
    schedule.announce(B, 5, 0);
    const asked: string[] = [];
    for (let now = 0; now < 3000; now += 10) {
        const peer = schedule.start(4, now);
        if (peer !== undefined) {
            asked.push(peer);
            schedule.end(peer, false, now);
        }
    }
    assert.deepEqual(asked, [A, B, A, B, A, B]);
    assert.equal(schedule.isIdle, true);
    schedule.announce(A, 5, 3000);
    assert.equal(schedule.start(4, 3000), A, "the next heartbeat is a new announcement");
});

test("pull schedule: a failed pull from the only peer is repeated after a pause", () => {
    const schedule = new PullSchedule();
    schedule.announce(A, 5, 0);
    assert.equal(schedule.start(4, 0), A);
    schedule.end(A, false, 100);
    assert.equal(schedule.start(4, 100), undefined);
    assert.equal(schedule.nextStartAt(100), 300);
    assert.equal(schedule.start(4, 300), A);
});

test("pull schedule: peers with an unknown revision are all asked", () => {
    const schedule = new PullSchedule();
    schedule.announce(A, Infinity, 0);
    schedule.announce(B, Infinity, 0);
    assert.equal(schedule.start(0, 0), A);
    schedule.end(A, true, 10);
    assert.equal(schedule.start(7, 10), B);
    schedule.end(B, true, 20);
    assert.equal(schedule.isIdle, true);
});
