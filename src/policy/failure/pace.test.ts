import assert from "node:assert/strict";
import { test } from "node:test";
import { Pace } from "./pace.js";

/** Returns, after each reported pace in turn, whether the upstream is slow. */
const isSlowAfterEach = (paces: readonly number[]): boolean[] => {
    const pace = new Pace();
    return paces.map((reportedPace, now) => {
        pace.observe(reportedPace, now);
        return pace.isSlow(now);
    });
};

test("pace: an upstream that was never faster, such as a cold one, is not slow", () => {
    assert.deepEqual(isSlowAfterEach([2, 2, 2]), [false, false, false]);
    assert.deepEqual(isSlowAfterEach([8, 2, 8, 2]), [false, false, true, false]);
});

test("pace: an upstream that was faster before is slow, however long that lasts", () => {
    const paces = [2, 1, ...Array.from({ length: 50 }, () => 2)];
    assert.deepEqual(isSlowAfterEach(paces), [false, false, ...Array.from({ length: 50 }, () => true)]);
});

test("pace: a pace faster than usual is not used as the reference", () => {
    assert.deepEqual(isSlowAfterEach([0.5, 1]), [false, false]);
});
