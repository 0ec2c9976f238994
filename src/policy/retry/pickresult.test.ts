import assert from "node:assert/strict";
import { test } from "node:test";
import type { AttemptResult } from "./attemptresult.js";
import { pickResult } from "./pickresult.js";

type Result = AttemptResult<undefined>;

const result = (outcome: Result["outcome"]): Result => {
    switch (outcome) {
        case "served":
            return { outcome };
        case "failed":
            return { outcome, response: undefined, status: 500, retriedBelow: false };
        case "not-run":
        case "unknown":
            return { outcome, reason: "busy" };
    }
};

test("hedge: a refused attempt does not hide the result of one that may have run", () => {
    for (const outcome of ["served", "failed", "unknown"] as const) {
        assert.equal(pickResult(result(outcome), result("not-run")).outcome, outcome);
        assert.equal(pickResult(result("not-run"), result(outcome)).outcome, outcome);
    }
});
