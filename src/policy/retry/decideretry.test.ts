import assert from "node:assert/strict";
import { test } from "node:test";
import { decideRetry } from "./decideretry.js";
import type { Reason } from "./reason.js";
import { reasons } from "./reasons.js";
import { RetryBudget } from "./retrybudget.js";
import type { RetryDecision } from "./retrydecision.js";

type Input = Parameters<typeof decideRetry>[0];

/** The upstream itself refused the request, so it is proven not to have run. */
const shed: Input["result"] = { outcome: "not-run", reason: "shed" };
const mayHaveRun: Input["result"] = { outcome: "unknown", reason: "peer-broke" };
const failed: Input["result"] = { outcome: "failed", response: undefined, status: 500, retriedBelow: false };
const notRun = (reason: Reason): Input["result"] => ({ outcome: "not-run", reason });

const RATIO = 0.1;
const WINDOW_MS = 10_000;
const NOW = 1;

/** Returns an empty budget of which only `reserve` can be spent. */
const budgetWithReserve = (reserve: number): Parameters<typeof decideRetry>[1] => ({
    budget: new RetryBudget(WINDOW_MS),
    allowance: { ratio: RATIO, reserve },
});

const decide = (overrides: Partial<Input>, budgetAndAllowance = budgetWithReserve(20)): RetryDecision =>
    decideRetry(
        {
            result: shed,
            kind: "once",
            attempts: 1,
            maxAttempts: 3,
            redirects: 0,
            remainingMs: 100,
            bodyKept: true,
            needsBudget: false,
            quarantineStatus: "free",
            ...overrides,
        },
        budgetAndAllowance,
        NOW,
    );

const isRetried = (overrides: Partial<Input>, budgetAndAllowance?: Parameters<typeof decideRetry>[1]): boolean =>
    decide(overrides, budgetAndAllowance).again;

test("retry: a request that may have run is retried only if it is repeatable", () => {
    assert.equal(isRetried({ result: mayHaveRun }), false);
    assert.equal(isRetried({ result: mayHaveRun, kind: "repeatable" }), true);
    assert.equal(isRetried({}), true);
    assert.equal(isRetried({ result: { ...failed, retriedBelow: true }, kind: "repeatable" }), false);
    assert.equal(isRetried({ remainingMs: 0 }), false);
    assert.equal(isRetried({ bodyKept: false }), false);
});

test("retry: retries are limited by the budget, which grows with requests", () => {
    const budgetAndAllowance = budgetWithReserve(20);
    let granted = 0;
    while (isRetried({ result: mayHaveRun, kind: "repeatable" }, budgetAndAllowance)) {
        granted += 1;
    }
    assert.equal(granted, 20);
    for (let request = 0; request < 11; request++) {
        budgetAndAllowance.budget.recordRequest(NOW);
    }
    assert.equal(isRetried({ result: notRun("queue-full") }, budgetAndAllowance), true);
    assert.equal(isRetried({ result: notRun("queue-full") }, budgetAndAllowance), false);
});

test("retry: every attempt that may be a repeat is paid for from the budget", () => {
    const withoutBudget = budgetWithReserve(0);
    for (const reason of Object.keys(reasons) as Reason[]) {
        const result: Input["result"] = { outcome: "not-run", reason, arrived: true };
        const { again, why } = decide({ result, needsBudget: true, kind: "repeatable", redirects: 1 }, withoutBudget);
        const expected = reasons[reason].isFinal === true ? "quarantined" : "budget-spent";
        assert.deepEqual({ again, why }, { again: false, why: expected }, reason);
    }
    assert.deepEqual(decide({}, withoutBudget), { again: false, why: "budget-spent" }, "shed by the upstream");
});

test("retry: a request that is refused as quarantined is not sent elsewhere, whatever the budget", () => {
    const final = (Object.keys(reasons) as Reason[]).filter(reason => reasons[reason].isFinal === true);
    assert.deepEqual(final, ["quarantined"]);
    assert.equal(decide({ result: notRun("quarantined"), kind: "repeatable" }).why, "quarantined");
});

test("retry: a suspected request is sent elsewhere only if it has not run and is not quarantined", () => {
    const repeatable = { kind: "repeatable" } as const;
    assert.equal(decide({ ...repeatable, result: mayHaveRun, quarantineStatus: "suspect" }).why, "quarantined");
    assert.equal(decide({ ...repeatable, result: failed, quarantineStatus: "suspect" }).why, "quarantined");
    assert.equal(
        decide({ ...repeatable, result: notRun("busy"), redirects: 1, quarantineStatus: "suspect" }).why,
        "moves",
    );
    assert.equal(
        decide({ ...repeatable, result: notRun("busy"), redirects: 1, quarantineStatus: "quarantined" }).why,
        "quarantined",
    );
});

test("retry: the first two redirects are free, further ones need budget like retries", () => {
    const withoutBudget = budgetWithReserve(0);
    assert.deepEqual(decide({ result: notRun("busy"), attempts: 3, redirects: 1 }, withoutBudget), {
        again: true,
        why: "moves",
    });
    assert.deepEqual(decide({ result: notRun("busy"), attempts: 3, redirects: 2 }, withoutBudget), {
        again: true,
        why: "moves",
    });
    assert.deepEqual(decide({ result: notRun("busy"), redirects: 3 }, withoutBudget), {
        again: false,
        why: "budget-spent",
    });
    assert.deepEqual(decide({ result: notRun("leaving"), redirects: 3 }, withoutBudget), { again: true, why: "free" });
});

test("retry: the decision names its reason", () => {
    assert.equal(decide({ remainingMs: -1 }).why, "time-over");
    assert.equal(decide({ bodyKept: false }).why, "body-gone");
    assert.equal(decide({ result: { ...failed, retriedBelow: true } }).why, "retried-below");
    assert.equal(decide({ attempts: 3 }).why, "attempts-spent");
    assert.equal(decide({ result: mayHaveRun }).why, "may-have-run");
    assert.equal(decide({ result: failed, kind: "repeatable" }).why, "budget");
    assert.equal(decide({ result: notRun("queue-full") }, budgetWithReserve(0)).why, "budget-spent");
});
