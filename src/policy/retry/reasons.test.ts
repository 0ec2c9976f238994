import assert from "node:assert/strict";
import { test } from "node:test";
import { AttemptHistory } from "./attempthistory.js";
import { decideProblem } from "./decideproblem.js";
import { decodeReason } from "./decodereason.js";
import type { Reason } from "./reason.js";
import { reasons } from "./reasons.js";

const reasonsWhere = (test: (reason: Reason) => boolean): string[] =>
    (Object.keys(reasons) as Reason[]).filter(test).sort();

test("reasons: only the listed refusals lead to a redirect", () => {
    assert.deepEqual(reasonsWhere(reason => reasons[reason].causesRedirect), [
        "body-memory",
        "busy",
        "calls-spent",
        "cold",
        "handed-back",
        "incarnation",
        "leaving",
        "limited",
        "no-such-upstream",
        "slow",
        "stale-rule",
    ]);
});

test("reasons: only the listed refusals change the state that an ingress assumes of the upstream", () => {
    assert.deepEqual(reasonsWhere(reason => reasons[reason].upstreamEffect === "suspected"), [
        "peer-broke",
        "unreachable",
    ]);
    assert.deepEqual(reasonsWhere(reason => reasons[reason].upstreamEffect === "full"), ["shed"]);
    assert.deepEqual(reasonsWhere(reason => reasons[reason].upstreamEffect === "cold"), ["cold"]);
    assert.deepEqual(reasonsWhere(reason => reasons[reason].upstreamEffect === "limited"), ["limited"]);
    assert.deepEqual(reasonsWhere(reason => reasons[reason].upstreamEffect === "leaving"), ["leaving"]);
    assert.deepEqual(reasonsWhere(reason => reasons[reason].upstreamEffect === "absent"), ["no-such-upstream"]);
});

test("reasons: a request that may have run is never reported as not run", () => {
    for (const reason of Object.keys(reasons) as Reason[]) {
        assert.match(decideProblem("unknown", reason), /^(answer-lost|deadline)$/, reason);
    }
    assert.equal(decideProblem("not-run", "queue-full"), "overloaded");
    assert.equal(decideProblem("not-run", "peer-broke"), "unreachable");
    assert.equal(decideProblem("not-run", "ledger-expired"), "deadline");
    assert.equal(decideProblem("not-run", "leaving"), "no-upstream");
});

test("reasons: an unknown reason is decoded as unknown-reason", () => {
    assert.equal(decodeReason("busy"), "busy");
    assert.equal(decodeReason("a-word-of-tomorrow"), "unknown-reason");
    assert.equal(decodeReason("toString"), "unknown-reason");
    assert.equal(decodeReason(undefined), "no-reason");
});

test("history: redirects do not count as attempts, and later refusals do not clear mayHaveRun", () => {
    const history = new AttemptHistory<string>();
    history.begin("a");
    history.end({ outcome: "not-run", reason: "busy" });
    history.begin("b");
    history.end({ outcome: "unknown", reason: "peer-broke" });
    history.begin("c");
    history.end({ outcome: "not-run", reason: "slow" });
    assert.deepEqual([history.attempts, history.redirects, history.countedAttempts], [3, 2, 1]);
    assert.equal(history.mayRedirect, false);
    assert.equal(history.mayHaveRun, true);
});

test("history: each repeat needs budget, and budget that was spent covers one repeat", () => {
    const history = new AttemptHistory<string>();
    history.begin("a");
    history.end({ outcome: "not-run", reason: "wait-too-long" });
    assert.deepEqual(
        [history.mayHaveArrived, history.needsBudget],
        [false, false],
        "a request that the gate refuses has not arrived",
    );
    history.begin("b");
    history.end({ outcome: "not-run", reason: "shed", arrived: true });
    assert.deepEqual([history.mayHaveArrived, history.needsBudget], [true, true]);
    history.recordBudgetSpent();
    history.begin("c");
    history.end({ outcome: "not-run", reason: "busy" });
    assert.equal(history.needsBudget, false, "the repeat that was paid for has not arrived yet");
    history.begin("d");
    history.end({ outcome: "unknown", reason: "peer-broke" });
    assert.equal(history.needsBudget, true);
    history.recordBudgetSpent();
    history.recordHedge();
    history.end({ outcome: "failed", response: undefined, status: 500, retriedBelow: false });
    assert.equal(history.needsBudget, true, "the budget of a hedge covers only the hedge");
});
