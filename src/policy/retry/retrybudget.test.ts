import assert from "node:assert/strict";
import { test } from "node:test";
import { RetryBudget } from "./retrybudget.js";

const WINDOW_MS = 10_000;
const allowance = { ratio: 0.1, reserve: 2 };

/** One that has seen some requests at the time 0. */
const budgetOf = (requests: number): RetryBudget => {
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

test("retry: hedges take only what requests allow, the reserve is kept for failures", () => {
    const budget = budgetOf(10);
    assert.equal(budget.spendSurplus(allowance, 1), true);
    assert.equal(budget.spendSurplus(allowance, 1), false);
    assert.equal(spendAll(budget, 1), 2);
    assert.equal(budgetOf(9).spendSurplus(allowance, 1), false);
});

test("retry: what was not spent is not saved", () => {
    const budget = budgetOf(10_000);
    assert.equal(spendAll(budget, WINDOW_MS + 1), 2);
});

test("retry: what was spent counts for a whole window", () => {
    const budget = budgetOf(0);
    assert.equal(spendAll(budget, 499), 2);
    assert.equal(spendAll(budget, WINDOW_MS), 0);
    assert.equal(spendAll(budget, WINDOW_MS + 500), 2);
});

test("retry: calls of repeated runs take from what retries may have, and are never refused", () => {
    const budget = budgetOf(10);
    for (let call = 0; call < 5; call++) {
        budget.recordRepeat(1);
    }
    assert.equal(budget.left(allowance, 1), -2);
    assert.equal(spendAll(budget, 1), 0);
});
