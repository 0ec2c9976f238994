import assert from "node:assert/strict";
import { test } from "node:test";
import { CarriedIds } from "./carriedids.js";

const TIME_LIMIT_MS = 1000;

test("carried ids: an id is kept until its deadline, however many follow", () => {
    const ids = new CarriedIds();
    ids.add("first", TIME_LIMIT_MS, 0);
    for (let index = 0; index < 10_000; index++) {
        ids.add(`id-${index}`, TIME_LIMIT_MS, TIME_LIMIT_MS - 1);
    }
    assert.ok(ids.has("first"));
    assert.ok(!ids.has("other"));
});

test("carried ids: the number of ids is bounded by the rate times the time limit", () => {
    const ids = new CarriedIds();
    for (let now = 0; now < 100_000; now++) {
        ids.add(`id-${now}`, now + TIME_LIMIT_MS, now);
    }
    assert.ok(!ids.has("id-0"));
    const kept = Array.from({ length: 100_000 }, (_, index) => ids.has(`id-${index}`)).filter(Boolean).length;
    assert.ok(kept < 10 * TIME_LIMIT_MS, `${kept} ids are kept`);
});
