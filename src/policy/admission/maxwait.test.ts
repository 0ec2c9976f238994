import assert from "node:assert/strict";
import { test } from "node:test";
import { maxWait } from "./maxwait.js";

const waitAt = (targetMs: number | undefined, now: number, depth = 0): number =>
    maxWait({ serviceMaxWaitMs: 1000, targetMs, startedAt: 100, depth }, now);

test("wait: a quarter of the target, less what is spent", () => {
    assert.equal(waitAt(400, 100), 100);
    assert.equal(waitAt(400, 150), 50);
    assert.equal(waitAt(400, 900), 0);
});

test("wait: the service's own bound where the rule has no target, and for a call of a request that runs", () => {
    assert.equal(waitAt(undefined, 500), 1000);
    assert.equal(waitAt(400, 500, 1), 1000);
});
