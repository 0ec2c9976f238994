import assert from "node:assert/strict";
import { test } from "node:test";
import { LevelClock } from "./levelclock.js";
import { levelOf } from "./levelof.js";
import { levelSize } from "./levelsize.js";
import { WorkTime } from "./worktime.js";

test("work time: is split by concurrency level and excludes the time of calls", () => {
    const clock = new LevelClock(4, 0);
    clock.setConcurrency(1, 0);
    const work = new WorkTime(clock, 0);
    clock.setConcurrency(2, 10);
    work.callBegan(15);
    work.callBegan(20);
    clock.setConcurrency(3, 30);
    work.callEnded(35);
    work.callEnded(50);
    clock.setConcurrency(1, 60);
    assert.deepEqual([...work.read(70)], [0, 20, 5, 10, 0]);
});

test("work time: a request that ends during a call has been worked on until the call began", () => {
    const clock = new LevelClock(2, 0);
    clock.setConcurrency(1, 0);
    const work = new WorkTime(clock, 0);
    work.callBegan(40);
    assert.deepEqual([...work.read(100)], [0, 40, 0]);
    work.callEnded(120);
});

test("work time: an upstream with many slots has fewer levels than slots, all of the same size", () => {
    assert.equal(levelSize(64), 1);
    assert.equal(levelSize(650), 11);
    assert.equal(levelOf(0, 650), 0);
    assert.equal(levelOf(1, 650), 1);
    assert.equal(levelOf(11, 650), 1);
    assert.equal(levelOf(12, 650), 2);
    assert.equal(levelOf(9999, 650), levelOf(650, 650));
});
