import assert from "node:assert/strict";
import { test } from "node:test";
import { untilTurnMs } from "./untilturnms.js";

const COUNT = 6;
const TURN_MS = 1000;
const MIN_WAIT_MS = 100;
const START_MS = 1_700_000_000_123;

// Guards against watchers that all wait on unresponsive connections at the same time, so that a change is read late.
test("watch turns: one watcher renews its watch in each second, whenever the watches began", () => {
    for (let offsetMs = 0; offsetMs < COUNT * TURN_MS; offsetMs += 50) {
        const now = START_MS + offsetMs;
        const ends = Array.from({ length: COUNT }, (_, index) => untilTurnMs({ index, count: COUNT }, now)).sort((
            a,
            b,
        ) => a - b);
        assert.ok(ends[0]! >= MIN_WAIT_MS && ends[0]! <= TURN_MS + MIN_WAIT_MS, `${ends[0]} ms until the first`);
        ends.slice(1).forEach((end, index) => assert.equal(end - ends[index]!, TURN_MS));
    }
});

test("watch turns: a watch that ends at a turn is followed by one until the next turn of its watcher", () => {
    for (const count of [1, 2, 6, 18]) {
        let now = START_MS;
        now += untilTurnMs({ index: count - 1, count }, now);
        for (let turn = 0; turn < 3; turn++) {
            const waitMs = untilTurnMs({ index: count - 1, count }, now + 5);
            assert.ok(Math.abs(waitMs - count * TURN_MS) <= 10, `${waitMs} ms`);
            now += waitMs;
        }
    }
});
