import assert from "node:assert/strict";
import { test } from "node:test";
import { RecentSet } from "./recentset.js";

test("recent set: keeps a limited number of the items that were added last", () => {
    const recent = new RecentSet<string>(2048);
    for (let at = 0; at < 10_000; at++) {
        recent.add(`r${at}`);
        recent.add("often");
    }
    assert.equal(recent.has("often"), true);
    assert.equal(recent.has("r9999"), true);
    assert.equal(recent.has("r0"), false);
});
