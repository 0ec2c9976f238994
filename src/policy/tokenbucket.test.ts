import assert from "node:assert/strict";
import { test } from "node:test";
import { TokenBucket } from "./tokenbucket.js";

test("budget: no second passes it", () => {
    const bucket = new TokenBucket(50, 50, 0);
    let spent = 0;
    for (let at = 0; at < 1000; at++) {
        spent += bucket.spend(1, at) ? 1 : 0;
    }
    assert.ok(spent <= 100, String(spent));
});
