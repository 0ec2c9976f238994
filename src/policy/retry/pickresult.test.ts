import assert from "node:assert/strict";
import { test } from "node:test";
import type { AttemptResult } from "./attemptresult.js";
import { pickResult } from "./pickresult.js";

const result = (outcome: AttemptResult["outcome"]): AttemptResult => ({
    outcome,
    reason: "",
    redirected: false,
    retriedBelow: false,
});

test("hedge: a refused second try does not hide a first that ran", () => {
    for (const outcome of ["served", "failed", "unknown"] as const) {
        assert.equal(pickResult(result(outcome), result("not-run")).outcome, outcome);
        assert.equal(pickResult(result("not-run"), result(outcome)).outcome, outcome);
    }
});
