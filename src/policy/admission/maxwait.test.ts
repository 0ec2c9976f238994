import assert from "node:assert/strict";
import { test } from "node:test";
import { maxWait } from "./maxwait.js";

const maxWaitAt = (targetMs: number | undefined, now: number, depth = 0): number =>
    maxWait({ serviceMaxWaitMs: 1000, targetMs, startedAt: 100, depth }, now);

test("max wait: a quarter of the target, less the time already spent", () => {
    assert.equal(maxWaitAt(400, 100), 100);
    assert.equal(maxWaitAt(400, 150), 50);
    assert.equal(maxWaitAt(400, 900), 0);
});

test("max wait: the service's longest wait if the rule has no target, and for calls made for a running request", () => {
    assert.equal(maxWaitAt(undefined, 500), 1000);
    assert.equal(maxWaitAt(400, 500, 1), 1000);
});
