import assert from "node:assert/strict";
import { test } from "node:test";
import { ProcessClock } from "./processclock.js";

/** A host whose steady clock stands still while it is suspended. */
const host = { steady: 500, uptime: 100_000 };
const run = (ms: number): void => {
    host.steady += ms;
    host.uptime += ms;
};
const suspend = (ms: number): void => void (host.uptime += ms);
/** As the kernel tells it: in steps of 10 ms. */
const uptimeMs = (): number => Math.floor(host.uptime / 10) * 10;

test("process clock: goes on as the steady clock does, whatever the steps of the uptime", () => {
    const clock = new ProcessClock(() => host.steady, uptimeMs);
    for (let step = 0; step < 2000; step++) {
        run(7.3);
        assert.equal(clock.now(), host.steady);
    }
    assert.equal(clock.exact(), host.steady);
});

test("process clock: the time of a suspension has passed, at once where that is asked for, else soon", () => {
    const clock = new ProcessClock(() => host.steady, uptimeMs);
    const told: number[] = [];
    clock.onSuspended(ms => told.push(ms));
    const before = clock.now();
    suspend(3000);
    assert.ok(Math.abs(clock.exact() - before - 3000) <= 10);
    assert.equal(told.length, 1);
    const second = clock.now();
    suspend(5000);
    run(49);
    assert.ok(clock.now() - second < 100, "not read again yet");
    run(1);
    assert.ok(Math.abs(clock.now() - second - 5050) <= 10);
    assert.equal(told.length, 2);
    let last = clock.now();
    for (let step = 0; step < 500; step++) {
        run(3);
        const now = clock.now();
        assert.ok(now >= last, "it never goes back");
        last = now;
    }
});
