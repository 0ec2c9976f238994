import assert from "node:assert/strict";
import { test } from "node:test";
import { HedgeDelay } from "./hedgedelay.js";

test("hedge delay: a response is overdue when nearly all others arrived sooner", () => {
    const hedgeDelay = new HedgeDelay();
    for (let index = 0; index < 5000; index++) {
        hedgeDelay.observe(10 + index % 20, false);
    }
    const { afterMs = NaN } = hedgeDelay;
    assert.ok(afterMs > 25 && afterMs < 40, String(afterMs));
});

test("hedge delay: a service whose responses mostly need calls to others is not hedged", () => {
    const hedgeDelay = new HedgeDelay();
    for (let index = 0; index < 100; index++) {
        hedgeDelay.observe(10 + index % 20, true);
    }
    assert.equal(hedgeDelay.afterMs, undefined);
    for (let index = 0; index < 10; index++) {
        hedgeDelay.observe(10 + index % 20, false);
    }
    assert.notEqual(hedgeDelay.afterMs, undefined);
});
