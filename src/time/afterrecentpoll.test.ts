import assert from "node:assert/strict";
import { test } from "node:test";
import { afterRecentPoll } from "./afterrecentpoll.js";

const STALL_MS = 700;

/** Returns the number of readings of a clock that stands still but for stalls, before the readings with these numbers. */
const countReadings = async (stallsBefore: readonly number[]): Promise<number> => {
    let readings = 0;
    let now = 0;
    await afterRecentPoll(() => {
        now += stallsBefore.includes(readings) ? STALL_MS : 0;
        readings += 1;
        return now;
    });
    return readings;
};

test("after recent poll: one poll is waited for, also after a stall", async () => {
    assert.equal(await countReadings([]), 2);
    assert.equal(await countReadings([0]), 2);
});

// Guards against work for clients that have left (GONE): a stall between the poll and the request left their leaving unread.
test("after recent poll: another poll is waited for if the process did not run after the first", async () => {
    assert.equal(await countReadings([1]), 4);
});

test("after recent poll: a process that stalls in each turn does not wait for ever", async () => {
    assert.equal(await countReadings([1, 3, 5, 7, 9]), 6);
});
