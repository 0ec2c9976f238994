import assert from "node:assert/strict";
import { test } from "node:test";
import { HedgeDelay } from "./hedgedelay.js";

test("hedge delay: a response is overdue when nearly all others arrived sooner", () => {
    const hedgeDelay = new HedgeDelay();
    for (let at = 0; at < 5000; at++) {
        hedgeDelay.observe(10 + at % 20, false);
    }
    const { afterMs = NaN } = hedgeDelay;
    assert.ok(afterMs > 25 && afterMs < 40, String(afterMs));
});

test("hedge delay: a service whose responses mostly need calls to others is not hedged", () => {
    const hedging = new HedgeDelay();
    for (let at = 0; at < 100; at++) {
        hedging.observe(10 + at % 20, true);
    }
    assert.equal(hedging.afterMs, undefined);
    for (let at = 0; at < 10; at++) {
        hedging.observe(10 + at % 20, false);
    }
    assert.notEqual(hedging.afterMs, undefined);
});
