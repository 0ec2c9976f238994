import assert from "node:assert/strict";
import { test } from "node:test";
import { isWorthHandingBack } from "./isworthhandingback.js";
import { requestsPerSibling } from "./requestspersibling.js";
import { slotsToOffer } from "./slotstooffer.js";

const load = { running: 4, waiting: 6, limit: 4, serviceMs: 20, baseMs: 20 };

test("transfer: requests are handed back only for waits as long as a usual service time and two hops", () => {
    assert.equal(isWorthHandingBack(load), true);
    assert.equal(isWorthHandingBack({ ...load, waiting: 3 }), false);
    assert.equal(isWorthHandingBack({ ...load, waiting: 0 }), false);
    assert.equal(isWorthHandingBack({ ...load, serviceMs: 2, baseMs: 1 }), false);
    assert.equal(isWorthHandingBack({ ...load, serviceMs: 4, baseMs: 1 }), true);
});

test("transfer: each sibling is asked to take an equal share, up to a maximum", () => {
    assert.equal(requestsPerSibling(6, 3), 2);
    assert.equal(requestsPerSibling(7, 3), 3);
    assert.equal(requestsPerSibling(600, 3), 16);
    assert.equal(requestsPerSibling(6, 0), 0);
});

test("transfer: at most half of the free slots are offered", () => {
    assert.equal(slotsToOffer(10, 4), 2);
    assert.equal(slotsToOffer(1, 4), 1);
    assert.equal(slotsToOffer(10, 1), 0);
});
