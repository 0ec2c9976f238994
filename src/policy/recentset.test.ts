import assert from "node:assert/strict";
import { test } from "node:test";
import { RecentSet } from "./recentset.js";

test("recent set: keeps a limited number of the items that were added last", () => {
    const recent = new RecentSet<string>(2048);
    for (let index = 0; index < 10_000; index++) {
        recent.add(`r${index}`);
        recent.add("often");
    }
    assert.equal(recent.has("often"), true);
    assert.equal(recent.has("r9999"), true);
    assert.equal(recent.has("r0"), false);
});
