import assert from "node:assert/strict";
import { test } from "node:test";
import { TokenBucket } from "./tokenbucket.js";

test("token bucket: within a second, spends at most the burst and one second's rate", () => {
    const bucket = new TokenBucket(50, 50, 0);
    let spent = 0;
    for (let nowMs = 0; nowMs < 1000; nowMs++) {
        spent += bucket.spend(1, nowMs) ? 1 : 0;
    }
    assert.ok(spent <= 100, String(spent));
});
