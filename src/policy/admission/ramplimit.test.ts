import assert from "node:assert/strict";
import { test } from "node:test";
import { RampLimit } from "./ramplimit.js";

test("limit: opens slot by slot from a cold start", () => {
    const limit = new RampLimit(10);
    assert.equal(limit.current(), 5);
    for (let answer = 0; answer < 20; answer++) {
        limit.observe();
    }
    assert.equal(limit.current(), 10);
});
