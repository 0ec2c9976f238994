import assert from "node:assert/strict";
import { test } from "node:test";
import { ownAllowance } from "./ownallowance.js";

const part = {
    bound: { ratio: 0.2, slack: 60, windowMs: 10_000 },
    serviceRatio: 0.1,
    burst: 20,
    daemons: 6,
    aliveMs: 20_000,
};

test("allowance: half of the bound, shared by all daemons, never more than a service's operators allow", () => {
    assert.deepEqual(ownAllowance(part), { ratio: 0.1, reserve: 5 });
    assert.deepEqual(ownAllowance({ ...part, serviceRatio: 1 }), { ratio: 0.1, reserve: 5 });
    assert.deepEqual(ownAllowance({ ...part, serviceRatio: 0.02 }), { ratio: 0.02, reserve: 5 });
    assert.deepEqual(ownAllowance({ ...part, burst: 2 }), { ratio: 0.1, reserve: 2 });
    assert.equal(ownAllowance({ ...part, daemons: 660 }).reserve, 30 / 660);
});

test("allowance: the reserve grows with the daemon's age, so that short lives get no more than a long one", () => {
    assert.equal(ownAllowance({ ...part, aliveMs: 0 }).reserve, 0);
    assert.equal(ownAllowance({ ...part, aliveMs: 2500 }).reserve, 1.25);
    assert.equal(ownAllowance({ ...part, aliveMs: 10_000 }).reserve, 5);
});
