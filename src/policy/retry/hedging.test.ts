import assert from "node:assert/strict";
import { test } from "node:test";
import { Hedging } from "./hedging.js";

test("hedging: an answer is overdue past nearly all others", () => {
    const hedging = new Hedging();
    for (let at = 0; at < 5000; at++) {
        hedging.observe(10 + at % 20, false);
    }
    const { afterMs = NaN } = hedging;
    assert.ok(afterMs > 25 && afterMs < 40, String(afterMs));
});

test("hedging: a service that calls others leaves it to the hop next to the slow upstream", () => {
    const hedging = new Hedging();
    for (let at = 0; at < 100; at++) {
        hedging.observe(10 + at % 20, true);
    }
    assert.equal(hedging.afterMs, undefined);
    for (let at = 0; at < 10; at++) {
        hedging.observe(10 + at % 20, false);
    }
    assert.notEqual(hedging.afterMs, undefined);
});
