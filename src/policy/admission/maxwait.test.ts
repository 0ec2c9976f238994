import assert from "node:assert/strict";
import { test } from "node:test";
import { maxWaitMs } from "./maxwaitms.js";
import type { Plan } from "./plan.js";

const plan = (targetMs: number | undefined, depth = 0): Plan =>
    ({ service: { maxWaitMs: 1000 }, rule: { targetMs }, startedAt: 100, deadline: 2000, depth }) as Plan;

test("wait: a quarter of the target, less what is spent", () => {
    assert.equal(maxWaitMs(plan(400), 100), 100);
    assert.equal(maxWaitMs(plan(400), 150), 50);
    assert.equal(maxWaitMs(plan(400), 900), 0);
});

test("wait: the service's own bound where the rule has no target, and for a call of a request that runs", () => {
    assert.equal(maxWaitMs(plan(undefined), 500), 1000);
    assert.equal(maxWaitMs(plan(400, 1), 500), 1000);
});
