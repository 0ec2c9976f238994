import assert from "node:assert/strict";
import { test } from "node:test";
import { RampLimit } from "./ramplimit.js";

test("ramp limit: opens one slot with each response, from half of the slots", () => {
    const limit = new RampLimit(10);
    assert.equal(limit.current(), 5);
    for (let response = 0; response < 20; response++) {
        limit.observe();
    }
    assert.equal(limit.current(), 10);
});
