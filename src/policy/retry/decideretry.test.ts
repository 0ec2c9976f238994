import assert from "node:assert/strict";
import { test } from "node:test";
import { decideRetry } from "./decideretry.js";
import type { Reason } from "./reason.js";
import { reasons } from "./reasons.js";
import { RetryBudget } from "./retrybudget.js";
import type { RetryDecision } from "./retrydecision.js";

type Input = Parameters<typeof decideRetry>[0];

/** Proven not to have run: the upstream itself refused. */
const shed: Input["result"] = { outcome: "not-run", reason: "shed" };
const unknown: Input["result"] = { outcome: "unknown", reason: "peer-broke" };
const failed: Input["result"] = { outcome: "failed", answer: undefined, status: 500, retriedBelow: false };
const refused = (reason: Reason): Input["result"] => ({ outcome: "not-run", reason });

const RATIO = 0.1;
const WINDOW_MS = 10_000;
const NOW = 1;

/** What there is to spend, besides what requests allow. */
const retriesOf = (reserve: number): Parameters<typeof decideRetry>[1] => ({
    budget: new RetryBudget(WINDOW_MS),
    allowance: { ratio: RATIO, reserve },
});

const decide = (more: Partial<Input>, retries = retriesOf(20)): RetryDecision =>
    decideRetry(
        {
            result: shed,
            kind: "once",
            attempts: 1,
            maxAttempts: 3,
            moves: 0,
            remainingMs: 100,
            bodyKept: true,
            owes: false,
            standing: "free",
            ...more,
        },
        retries,
        NOW,
    );

const retry = (more: Partial<Input>, retries?: Parameters<typeof decideRetry>[1]): boolean =>
    decide(more, retries).again;

test("retry: a request that may have run is repeated only when it is repeatable", () => {
    assert.equal(retry({ result: unknown }), false);
    assert.equal(retry({ result: unknown, kind: "repeatable" }), true);
    assert.equal(retry({}), true);
    assert.equal(retry({ result: { ...failed, retriedBelow: true }, kind: "repeatable" }), false);
    assert.equal(retry({ remainingMs: 0 }), false);
    assert.equal(retry({ bodyKept: false }), false);
});

test("retry: the budget bounds what retries add, and requests add to it", () => {
    const retries = retriesOf(20);
    let granted = 0;
    while (retry({ result: unknown, kind: "repeatable" }, retries)) {
        granted += 1;
    }
    assert.equal(granted, 20);
    for (let request = 0; request < 11; request++) {
        retries.budget.recordRequest(NOW);
    }
    assert.equal(retry({ result: refused("queue-full") }, retries), true);
    assert.equal(retry({ result: refused("queue-full") }, retries), false);
});

test("retry: nothing that may be one more arrival is free", () => {
    const spent = retriesOf(0);
    for (const reason of Object.keys(reasons) as Reason[]) {
        const result: Input["result"] = { outcome: "not-run", reason, arrived: true };
        const { again, why } = decide({ result, owes: true, kind: "repeatable", moves: 1 }, spent);
        const expected = reasons[reason].isFinal === true ? "quarantined" : "budget-spent";
        assert.deepEqual({ again, why }, { again: false, why: expected }, reason);
    }
    assert.deepEqual(decide({}, spent), { again: false, why: "budget-spent" }, "an upstream that shed");
});

test("retry: a request that a gate refuses for what it is goes nowhere else, whatever there is to spend", () => {
    const final = (Object.keys(reasons) as Reason[]).filter(reason => reasons[reason].isFinal === true);
    assert.deepEqual(final, ["quarantined"]);
    assert.equal(decide({ result: refused("quarantined"), kind: "repeatable" }).why, "quarantined");
});

test("retry: one under which upstreams have ended goes to no other, unless it has not run and is not refused yet", () => {
    const more = { kind: "repeatable" } as const;
    assert.equal(decide({ ...more, result: unknown, standing: "suspect" }).why, "quarantined");
    assert.equal(decide({ ...more, result: failed, standing: "suspect" }).why, "quarantined");
    assert.equal(decide({ ...more, result: refused("busy"), moves: 1, standing: "suspect" }).why, "moves");
    assert.equal(decide({ ...more, result: refused("busy"), moves: 1, standing: "quarantined" }).why, "quarantined");
});

test("retry: a request that belongs elsewhere moves for free, twice, and then counts as any other", () => {
    const spent = retriesOf(0);
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
    assert.equal(decide({ result: refused("queue-full") }, retriesOf(0)).why, "budget-spent");
});
