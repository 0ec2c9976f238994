import assert from "node:assert/strict";
import { test } from "node:test";
import { LineBudget } from "./linebudget.js";

test("log budget: each kind has its own budget, and dropped lines are counted", () => {
    const budget = new LineBudget(10, 0);
    const written = Array.from({ length: 10 }, () => budget.spend("decision", 0)).filter(Boolean).length;
    assert.equal(written, 3);
    assert.equal(budget.spend("failure", 0), true);
    assert.deepEqual(budget.takeDroppedCounts(), { decision: 7 });
    assert.equal(budget.takeDroppedCounts(), undefined);
});

test("log budget: a used-up budget refills over time", () => {
    const budget = new LineBudget(10, 0);
    while (budget.spend("belief", 0)) {
        // Uses up the budget.
    }
    assert.equal(budget.spend("belief", 1000), true);
});
