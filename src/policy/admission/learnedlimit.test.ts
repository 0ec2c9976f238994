import assert from "node:assert/strict";
import { test } from "node:test";
import { LearnedLimit } from "./learnedlimit.js";

const SLOTS = 12;

/** Keeps the upstream full and answers as it would; `timeAt` is the relative time with so many at once. */
const saturate = (limit: LearnedLimit, answers: number, timeAt: (running: number) => number): void => {
    for (let at = 0; at < answers; at++) {
        const full = limit.current();
        const running = at % 3 === 0 ? Math.max(1, full - at % 5) : full;
        limit.observe(running, timeAt(running));
    }
};

test("learned limit: an upstream that slows when nearly full keeps its last slots free", () => {
    const limit = new LearnedLimit(SLOTS);
    saturate(limit, 1000, running => running > 9.6 ? 1.7 : 1);
    assert.ok(limit.current() <= 10, String(limit.current()));
});

test("learned limit: an upstream that does not slow has all its slots, also when its times vary", () => {
    const limit = new LearnedLimit(SLOTS);
    let at = 0;
    saturate(limit, 2000, () => [0.4, 1.9, 0.7, 1.0][at++ % 4]!);
    assert.equal(limit.current(), SLOTS);
});

test("learned limit: it never falls below two thirds, and opens again when the upstream has mended", () => {
    const limit = new LearnedLimit(SLOTS);
    saturate(limit, 1000, running => running * running);
    assert.ok(limit.current() >= 8, String(limit.current()));
    saturate(limit, 4000, () => 1);
    assert.ok(limit.current() >= 11, String(limit.current()));
});

test("learned limit: a cold upstream starts with half its slots", () => {
    assert.equal(new LearnedLimit(SLOTS).current(), 6);
});
