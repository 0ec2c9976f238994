import assert from "node:assert/strict";
import { test } from "node:test";
import type { UpstreamName } from "../ids/upstreamname.js";
import { RampLimit } from "./admission/ramplimit.js";
import type { Candidate } from "./placement/candidate.js";
import { ExpectedTime } from "./placement/expectedtime.js";
import { decideRetry } from "./retry/decideretry.js";
import { Hedging } from "./retry/hedging.js";
import { RetryBudget } from "./retry/retrybudget.js";
import { TokenBucket } from "./tokenbucket.js";

const candidate = (name: string, more: Partial<Candidate> = {}): Candidate => ({
    upstream: name as UpstreamName,
    slots: 10,
    near: true,
    roundTripMs: 1,
    own: 0,
    report: { running: 2, waiting: 0, limit: 10, serviceMs: 10, baseMs: 10 },
    reportAt: 0,
    ownAtReport: 0,
    penaltyMs: 0,
    penaltyAt: 0,
    ...more,
});

const choose = (candidates: Candidate[], now: number): string =>
    new ExpectedTime().choose(candidates, now, () => 0)!.upstream;

const retry = (more: Partial<Parameters<typeof decideRetry>[0]>, budget = new RetryBudget(20)): boolean =>
    decideRetry({
        outcome: "not-run",
        kind: "once",
        tries: 1,
        maxTries: 3,
        remainingMs: 100,
        bodyKept: true,
        retriedBelow: false,
        redirected: false,
        redirects: 0,
        overloaded: false,
        ...more,
    }, budget);

test("placement: own requests outstanding weigh more than an old report", () => {
    assert.equal(choose([candidate("a", { own: 4 }), candidate("b")], 50), "b");
});

test("placement: the near hall is preferred only while it is faster", () => {
    const near = candidate("near", { roundTripMs: 0.5 });
    const far = candidate("far", { roundTripMs: 4 });
    assert.equal(choose([far, near], 50), "near");
    assert.equal(choose([far, { ...near, own: 5 }], 50), "far");
});

test("placement: a fast failure does not look fast, and is forgiven with time", () => {
    const failing = candidate("a", { penaltyMs: 50, penaltyAt: 0, roundTripMs: 0 });
    assert.equal(choose([failing, candidate("b")], 10), "b");
    assert.equal(choose([failing, candidate("b")], 10_000), "a");
});

test("placement: reported slowness is believed for a while", () => {
    const slow = { running: 2, waiting: 0, limit: 10, serviceMs: 100, baseMs: 10 };
    const candidates = [candidate("a", { report: slow, roundTripMs: 0 }), candidate("b")];
    assert.equal(choose(candidates, 100), "b");
    assert.equal(choose(candidates, 5000), "a");
});

test("retry: a request that may have run is repeated only when it is repeatable", () => {
    assert.equal(retry({ outcome: "unknown" }), false);
    assert.equal(retry({ outcome: "unknown", kind: "repeatable" }), true);
    assert.equal(retry({}), true);
    assert.equal(retry({ outcome: "failed", kind: "repeatable", retriedBelow: true }), false);
    assert.equal(retry({ remainingMs: 0 }), false);
    assert.equal(retry({ bodyKept: false }), false);
});

test("retry: the budget bounds what retries add, and successes earn it back", () => {
    const budget = new RetryBudget(20);
    let granted = 0;
    while (retry({ outcome: "unknown", kind: "repeatable" }, budget)) {
        granted += 1;
    }
    assert.equal(granted, 20);
    for (let success = 0; success < 11; success++) {
        budget.earn(0.1);
    }
    assert.equal(retry({ overloaded: true }, budget), true);
    assert.equal(retry({ overloaded: true }, budget), false);
});

test("retry: hedges take only what successes have earned", () => {
    const budget = new RetryBudget(2);
    assert.equal(budget.spendSurplus(), false);
    for (let success = 0; success < 10; success++) {
        budget.earn(0.1);
    }
    assert.equal(budget.spendSurplus(), true);
    assert.equal(budget.spendSurplus(), false);
    assert.equal(budget.spend() && budget.spend(), true);
});

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

test("limit: opens slot by slot from a cold start", () => {
    const limit = new RampLimit(10);
    assert.equal(limit.current(), 5);
    for (let answer = 0; answer < 20; answer++) {
        limit.observe();
    }
    assert.equal(limit.current(), 10);
});

test("budget: no second passes it", () => {
    const bucket = new TokenBucket(50, 50, 0);
    let spent = 0;
    for (let at = 0; at < 1000; at++) {
        spent += bucket.spend(1, at) ? 1 : 0;
    }
    assert.ok(spent <= 100, String(spent));
});
