import assert from "node:assert/strict";
import { test } from "node:test";
import { decideRetry } from "./decideretry.js";
import type { Reason } from "./reason.js";
import { RetryBudget } from "./retrybudget.js";
import type { RetryDecision } from "./retrydecision.js";

type Input = Parameters<typeof decideRetry>[0];

/** Proven not to have run, at no cost: the upstream itself refused. */
const shed: Input["result"] = { outcome: "not-run", reason: "shed" };
const unknown: Input["result"] = { outcome: "unknown", reason: "peer-broke" };
const failed: Input["result"] = { outcome: "failed", answer: undefined, status: 500, retriedBelow: false };
const refused = (reason: Reason): Input["result"] => ({ outcome: "not-run", reason });

const decide = (more: Partial<Input>, budget = new RetryBudget(20)): RetryDecision =>
    decideRetry({
        result: shed,
        kind: "once",
        attempts: 1,
        maxAttempts: 3,
        moves: 0,
        remainingMs: 100,
        bodyKept: true,
        ...more,
    }, budget);

const retry = (more: Partial<Input>, budget?: RetryBudget): boolean => decide(more, budget).again;

test("retry: a request that may have run is repeated only when it is repeatable", () => {
    assert.equal(retry({ result: unknown }), false);
    assert.equal(retry({ result: unknown, kind: "repeatable" }), true);
    assert.equal(retry({}), true);
    assert.equal(retry({ result: { ...failed, retriedBelow: true }, kind: "repeatable" }), false);
    assert.equal(retry({ remainingMs: 0 }), false);
    assert.equal(retry({ bodyKept: false }), false);
});

test("retry: the budget bounds what retries add, and successes earn it back", () => {
    const budget = new RetryBudget(20);
    let granted = 0;
    while (retry({ result: unknown, kind: "repeatable" }, budget)) {
        granted += 1;
    }
    assert.equal(granted, 20);
    for (let success = 0; success < 11; success++) {
        budget.earn(0.1);
    }
    assert.equal(retry({ result: refused("queue-full") }, budget), true);
    assert.equal(retry({ result: refused("queue-full") }, budget), false);
});

test("retry: a request that belongs elsewhere moves for free, twice, and then counts as any other", () => {
    const spent = new RetryBudget(0);
    assert.deepEqual(decide({ result: refused("busy"), attempts: 3, moves: 1 }, spent), { again: true, why: "moves" });
    assert.deepEqual(decide({ result: refused("busy"), attempts: 3, moves: 2 }, spent), { again: true, why: "moves" });
    assert.deepEqual(decide({ result: refused("busy"), moves: 3 }, spent), { again: false, why: "budget-spent" });
    assert.deepEqual(decide({ result: refused("leaving"), moves: 3 }, spent), { again: true, why: "free" });
});

test("retry: the decision says why", () => {
    assert.equal(decide({ remainingMs: -1 }).why, "time-over");
    assert.equal(decide({ bodyKept: false }).why, "body-gone");
    assert.equal(decide({ result: { ...failed, retriedBelow: true } }).why, "retried-below");
    assert.equal(decide({ attempts: 3 }).why, "attempts-spent");
    assert.equal(decide({ result: unknown }).why, "may-have-run");
    assert.equal(decide({ result: failed, kind: "repeatable" }).why, "budget");
    assert.equal(decide({ result: refused("queue-full") }, new RetryBudget(0)).why, "budget-spent");
});
