import assert from "node:assert/strict";
import { performance } from "node:perf_hooks";
import { test } from "node:test";
import { eventLoopUse } from "../policy/eventloop/eventloopuse.js";
import type { EventLoopReading } from "../time/eventloopreading.js";
import { processClock } from "../time/processclock.js";
import { readEventLoop } from "../time/readeventloop.js";
import { EventLoopMonitor } from "./eventloopmonitor.js";

type Report = { readonly message: string; readonly fields: object; };

/** Returns what a monitor reports that is checked at the times of the readings. */
const reportsOf = (readings: readonly EventLoopReading[]): Report[] => {
    const reports: Report[] = [];
    let next = 0;
    const monitor = new EventLoopMonitor({
        clock: () => readings[0]!.at,
        metrics: { eventLoop: { recordDelay: () => {}, showUse: () => {} } as never },
        read: () => readings[next]!,
        report: (message, fields) => reports.push({ message, fields }),
    });
    monitor.start();
    monitor.stop();
    for (next = 1; next < readings.length; next++) {
        monitor.check(readings[next]!.at);
    }
    return reports;
};

/** Returns a reading each 100 ms for a second, in which the loop and the process do the same in each interval. */
const second = (perInterval: Omit<EventLoopReading, "at">): EventLoopReading[] =>
    Array.from({ length: 11 }, (_, index) => ({
        at: 100 * index,
        waitedMs: perInterval.waitedMs * index,
        cpuMs: perInterval.cpuMs * index,
        turns: perInterval.turns * index,
        events: perInterval.events * index,
    }));

const start: EventLoopReading = { at: 0, waitedMs: 0, cpuMs: 0, turns: 0, events: 0 };

test("event loop: a delay by the daemon's own work is told from one of a process that did not run", () => {
    const own = { at: 500, waitedMs: 90, cpuMs: 405, turns: 4, events: 2 };
    const stopped = { at: 500, waitedMs: 90, cpuMs: 8, turns: 4, events: 2 };
    assert.deepEqual(reportsOf([start, own]), [{
        message: "The event loop was delayed by the daemon's own work.",
        fields: { delayMs: 400, cpuMs: 405, turns: 4 },
    }]);
    assert.deepEqual(reportsOf([start, stopped]), [{
        message: "The event loop was delayed: the process was stopped or had no CPU time.",
        fields: { delayMs: 400, cpuMs: 8, turns: 4 },
    }]);
});

test("event loop: a second without a wait is reported with its turns and events", () => {
    assert.deepEqual(reportsOf(second({ waitedMs: 0.2, cpuMs: 99, turns: 9000, events: 0 })), [{
        message: "The event loop hardly waits for events.",
        fields: { elapsedMs: 1000, waitedMs: 2, cpuMs: 990, turns: 90_000, events: 0 },
    }]);
});

test("event loop: one that waits for a hundredth of the time is not reported", () => {
    assert.deepEqual(reportsOf(second({ waitedMs: 1, cpuMs: 99, turns: 900, events: 900 })), []);
});

test("event loop: immediates that follow each other are read as turns without a wait", async () => {
    const before = readEventLoop(processClock());
    const endsAt = processClock() + 200;
    await new Promise<void>(resolve => {
        const next = (): unknown => processClock() < endsAt ? setImmediate(next) : resolve();
        next();
    });
    const { waitedMs, cpuMs, turns, elapsedMs } = eventLoopUse(before, readEventLoop(processClock()));
    assert.ok(elapsedMs >= 200);
    assert.ok(turns > 100, `${turns} turns`);
    assert.ok(waitedMs < 1, `waited ${waitedMs} ms`);
    assert.ok(cpuMs > 0);
});

test("event loop: a computation is read as processor time without a turn, and a timer as a wait", async () => {
    const before = readEventLoop(processClock());
    const endsAt = processClock() + 100;
    while (processClock() < endsAt) {}
    const computed = readEventLoop(processClock());
    const computation = eventLoopUse(before, computed);
    assert.deepEqual([computation.turns, computation.waitedMs], [0, 0]);
    assert.ok(computation.cpuMs > 0);
    await new Promise(resolve => setTimeout(resolve, 100));
    const { waitedMs } = eventLoopUse(computed, readEventLoop(processClock()));
    assert.ok(waitedMs > 0);
});

// Guards against daemons that end at their start: the counters of turns and events are missing in older releases of Node.js 20.
test("event loop: it is read without the counters that older releases of Node.js do not have", t => {
    Object.defineProperty(performance, "nodeTiming", { value: {}, configurable: true });
    t.after(() => Reflect.deleteProperty(performance, "nodeTiming"));
    const { turns, events, cpuMs } = readEventLoop(processClock());
    assert.deepEqual([turns, events], [0, 0]);
    assert.ok(cpuMs > 0);
});
