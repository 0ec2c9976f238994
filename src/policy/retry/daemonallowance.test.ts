import assert from "node:assert/strict";
import { test } from "node:test";
import { daemonAllowance } from "./daemonallowance.js";

const input = {
    bound: { ratio: 0.2, slack: 60, windowMs: 10_000 },
    serviceRatio: 0.1,
    burst: 20,
    daemonCount: 6,
    uptimeMs: 20_000,
};

test("daemon allowance: half of the bound divided by all daemons, within the operators' limits", () => {
    assert.deepEqual(daemonAllowance(input), { ratio: 0.1, reserve: 5 });
    assert.deepEqual(daemonAllowance({ ...input, serviceRatio: 1 }), { ratio: 0.1, reserve: 5 });
    assert.deepEqual(daemonAllowance({ ...input, serviceRatio: 0.02 }), { ratio: 0.02, reserve: 5 });
    assert.deepEqual(daemonAllowance({ ...input, burst: 2 }), { ratio: 0.1, reserve: 2 });
    assert.equal(daemonAllowance({ ...input, daemonCount: 660 }).reserve, 30 / 660);
});

test("daemon allowance: the reserve grows with the daemon's uptime, so that restarts gain nothing", () => {
    assert.equal(daemonAllowance({ ...input, uptimeMs: 0 }).reserve, 0);
    assert.equal(daemonAllowance({ ...input, uptimeMs: 2500 }).reserve, 1.25);
    assert.equal(daemonAllowance({ ...input, uptimeMs: 10_000 }).reserve, 5);
});
