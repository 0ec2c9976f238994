import assert from "node:assert/strict";
import { test } from "node:test";
import { RetryBudget } from "./retrybudget.js";

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
