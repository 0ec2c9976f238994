import assert from "node:assert/strict";
import { test } from "node:test";
import type { TeamName } from "../../ids/teamname.js";
import { ShardCounter } from "./shardcounter.js";

const TEAM = "t" as TeamName;
const WINDOW_MS = 5000;
const LEASE_MS = 4000;
const LIMIT = { ratePerSecond: 10, depth: 20, maxSpares: 4, maxReturned: 2 };
const MEMBERS = 4;

/** A counter with the leases of the first `lenders` daemons at the time 0. */
const createCounter = (lenders: number): ShardCounter<number> => {
    const counter = new ShardCounter<number>(WINDOW_MS);
    counter.setLimits(new Map([[TEAM, LIMIT]]), 0);
    for (let lender = 0; lender < lenders; lender++) {
        counter.lease(lender, LEASE_MS, MEMBERS, MEMBERS, 0);
    }
    return counter;
};

const grant = (counter: ShardCounter<number>, wanted: number, now: number): number =>
    counter.answer(0, [[TEAM, wanted, 0, 0, 0]], MEMBERS, now)[0]![1];

// Guards against issuing the burst again at each change of the counter.
test("shard counter: a new counter starts with an empty bucket, which fills at the rate of the leased shares", () => {
    assert.equal(grant(createCounter(MEMBERS), 20, 0), 0);
    assert.equal(grant(createCounter(MEMBERS), 20, 1000), 10);
    assert.equal(grant(createCounter(MEMBERS / 2), 20, 1000), 5);
    assert.equal(grant(createCounter(0), 20, 1000), 0);
});

// Guards against tokens of shares that have been leased to another counter since.
test("shard counter: the bucket is cut when leases end", () => {
    assert.equal(grant(createCounter(MEMBERS), 40, LEASE_MS - 1), 20);
    assert.equal(grant(createCounter(MEMBERS), 40, LEASE_MS + 1), 0);
});

// Guards against a lowered limit that takes effect only when the tokens of the former one are used.
test("shard counter: a lowered limit cuts the bucket at once", () => {
    const counter = createCounter(MEMBERS);
    counter.answer(0, [], MEMBERS, 3000);
    counter.setLimits(new Map([[TEAM, { ...LIMIT, ratePerSecond: 1, depth: 2 }]]), 3000);
    assert.equal(grant(counter, 40, 3000), 2);
});

// Guards against more prefetched tokens than the allowance covers.
test("shard counter: prefetched tokens of all daemons together are bounded", () => {
    const counter = createCounter(MEMBERS);
    const spares = [0, 1, 2].map(asker => counter.answer(asker, [[TEAM, 0, 0, 3, 0]], MEMBERS, 2000)[0]![2]);
    assert.deepEqual(spares, [3, 1, 0]);
});

// Guards against a bucket that returned tokens fill beyond the allowance.
test("shard counter: returned tokens are restored up to their part of the allowance", () => {
    const counter = createCounter(MEMBERS);
    assert.equal(grant(counter, 40, 1000), 10);
    assert.equal(counter.answer(0, [[TEAM, 40, 0, 0, 8]], MEMBERS, 1000)[0]![1], 2);
});
