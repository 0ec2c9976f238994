import assert from "node:assert/strict";
import { test } from "node:test";
import { Pace } from "./pace.js";

/** What a pace is called at each word in turn. */
const judge = (words: readonly number[]): boolean[] => {
    const pace = new Pace();
    return words.map((word, now) => {
        pace.observe(word, now);
        return pace.isSlow(now);
    });
};

test("pace: an upstream that has never been quicker, as a cold one, is not called slow", () => {
    assert.deepEqual(judge([2, 2, 2]), [false, false, false]);
    assert.deepEqual(judge([8, 2, 8, 2]), [false, false, true, false]);
});

test("pace: one that has been quicker is slow, however long it stays so", () => {
    const words = [2, 1, ...Array.from({ length: 50 }, () => 2)];
    assert.deepEqual(judge(words), [false, false, ...Array.from({ length: 50 }, () => true)]);
});

test("pace: quicker than usual is no measure", () => {
    assert.deepEqual(judge([0.5, 1]), [false, false]);
});
