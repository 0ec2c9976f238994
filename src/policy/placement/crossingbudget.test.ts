import assert from "node:assert/strict";
import { test } from "node:test";
import { seededRandom } from "../../../standin/seededrandom.js";
import { CrossingBudget } from "./crossingbudget.js";

const BYTES_PER_SECOND = 50_000;
const SECOND_MS = 1000;

test("crossing budget: holds requests back above the bound, and allows them again as it refills", () => {
    const budget = new CrossingBudget(BYTES_PER_SECOND, 0);
    budget.record(BYTES_PER_SECOND * 5, 0);
    assert.equal(budget.allows(100), false);
    budget.record(0, 100);
    assert.equal(budget.allows(4000), true);
    assert.equal(budget.allows(6000), false);
    budget.record(BYTES_PER_SECOND * 10, 200);
    assert.equal(budget.allows(1), false, "responses and control messages can exceed the bound");
    budget.record(0, 12 * SECOND_MS);
    assert.equal(budget.allows(1), true);
});

test("crossing budget: a body longer than the largest level may cross once half of the level is unused", () => {
    const budget = new CrossingBudget(BYTES_PER_SECOND, 0);
    assert.equal(budget.allows(10_000_000), true);
    budget.record(BYTES_PER_SECOND * 3, 0);
    assert.equal(budget.allows(10_000_000), false);
    assert.equal(budget.allows(BYTES_PER_SECOND), true);
});

// Guards against a link between regions that bodies fill: 41 daemons with offered uploads of twice the link's capacity
// must send no more than their shares together, after the unused share of the start is spent.
test("crossing budget: daemons with more to send than the link carries stay within their shares together", () => {
    const random = seededRandom(3);
    const budgets = Array.from({ length: 41 }, () => new CrossingBudget(BYTES_PER_SECOND, 0));
    const offeredPerMs = 41 * BYTES_PER_SECOND * 2 / SECOND_MS;
    let sent = 0;
    for (let now = 0; now < 60 * SECOND_MS; now += 10) {
        for (let offered = 0; offered < offeredPerMs * 10;) {
            const budget = budgets[Math.floor(random() * budgets.length)]!;
            const bytes = 1000 + Math.floor(random() * 120_000);
            offered += bytes;
            budget.record(0, now);
            if (budget.allows(bytes)) {
                budget.record(bytes, now);
                sent += now >= 20 * SECOND_MS ? bytes : 0;
            }
        }
    }
    const shareOfBound = sent / (41 * BYTES_PER_SECOND * 40);
    assert.ok(shareOfBound > 0.85 && shareOfBound < 1.1, `${shareOfBound}`);
});
