import assert from "node:assert/strict";
import { test } from "node:test";
import { RecentSet } from "./recentset.js";

test("recent set: those added last are known, a bounded number", () => {
    const served = new RecentSet<string>(2048);
    for (let at = 0; at < 10_000; at++) {
        served.add(`r${at}`);
        served.add("often");
    }
    assert.equal(served.has("often"), true);
    assert.equal(served.has("r9999"), true);
    assert.equal(served.has("r0"), false);
});
