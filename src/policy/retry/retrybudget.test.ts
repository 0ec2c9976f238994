import assert from "node:assert/strict";
import { test } from "node:test";
import { RetryBudget } from "./retrybudget.js";

const WINDOW_MS = 10_000;
const allowance = { ratio: 0.1, reserve: 2 };

/** Returns a budget that has recorded the given number of requests at time 0. */
const budgetWith = (requests: number): RetryBudget => {
    const budget = new RetryBudget(WINDOW_MS);
    for (let request = 0; request < requests; request++) {
        budget.recordRequest(0);
    }
    return budget;
};

const spendAll = (budget: RetryBudget, now: number): number => {
    let spent = 0;
    while (budget.spend(allowance, now)) {
        spent += 1;
    }
    return spent;
};

test("retry budget: hedges are paid only from the share of requests, and the reserve is left for failures", () => {
    const budget = budgetWith(10);
    assert.equal(budget.spendSurplus(allowance, 1), true);
    assert.equal(budget.spendSurplus(allowance, 1), false);
    assert.equal(spendAll(budget, 1), 2);
    assert.equal(budgetWith(9).spendSurplus(allowance, 1), false);
});

test("retry budget: budget that is not spent within a window expires", () => {
    const budget = budgetWith(10_000);
    assert.equal(spendAll(budget, WINDOW_MS + 1), 2);
});

test("retry budget: a repeat counts for a whole window", () => {
    const budget = budgetWith(0);
    assert.equal(spendAll(budget, 499), 2);
    assert.equal(spendAll(budget, WINDOW_MS), 0);
    assert.equal(spendAll(budget, WINDOW_MS + 500), 2);
});

test("retry budget: calls of repeated runs are never refused and reduce what is left for retries", () => {
    const budget = budgetWith(10);
    for (let call = 0; call < 5; call++) {
        budget.recordRepeat(1);
    }
    assert.equal(budget.remaining(allowance, 1), -2);
    assert.equal(spendAll(budget, 1), 0);
});
