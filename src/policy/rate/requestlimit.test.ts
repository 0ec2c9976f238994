import assert from "node:assert/strict";
import { test } from "node:test";
import { RequestLimit } from "./requestlimit.js";
import type { StatedLimit } from "./statedlimit.js";

const NONE: StatedLimit = { type: "none" };
const states = (perSecond: number): StatedLimit => ({ type: "perSecond", perSecond });

test("limit: it holds from the first answer that states it, until a later one does not", () => {
    const limit = new RequestLimit();
    limit.recordAnswer(NONE, 0, 10);
    assert.equal(limit.perSecond, undefined);
    limit.recordAnswer(states(7.8), 20, 40);
    assert.equal(limit.perSecond, 7.8);
    limit.recordAnswer(states(3), 50, 60);
    assert.equal(limit.perSecond, 3);
    limit.recordAnswer(NONE, 70, 80);
    assert.equal(limit.perSecond, undefined);
});

test("limit: an answer that was under way when it was stated does not end it", () => {
    const limit = new RequestLimit();
    limit.recordAnswer(states(7.8), 20, 40);
    limit.recordAnswer(NONE, 30, 50);
    limit.recordAnswer(NONE, 40, 51);
    assert.equal(limit.perSecond, 7.8);
});

test("limit: of two that were under way at the same time the lower one holds", () => {
    const limit = new RequestLimit();
    limit.recordAnswer(states(3), 10, 20);
    limit.recordAnswer(states(9), 15, 25);
    assert.equal(limit.perSecond, 3);
    limit.recordAnswer(states(9), 30, 40);
    assert.equal(limit.perSecond, 9);
});

test("limit: a value that can't be read changes nothing", () => {
    const limit = new RequestLimit();
    limit.recordAnswer(states(3), 10, 20);
    limit.recordAnswer({ type: "unreadable", text: "abc" }, 30, 40);
    assert.equal(limit.perSecond, 3);
});
