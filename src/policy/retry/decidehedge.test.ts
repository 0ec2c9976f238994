import assert from "node:assert/strict";
import { test } from "node:test";
import { decideHedge } from "./decidehedge.js";

const request = {
    isEnabled: true,
    kind: "repeatable",
    answer: "whole",
    bodyKept: true,
    attempts: 1,
    maxAttempts: 3,
    afterMs: 40,
} as const;

test("hedge: only a repeatable request with a whole response and a body that can be sent again is hedged", () => {
    assert.equal(decideHedge(request), 40);
    assert.equal(decideHedge({ ...request, isEnabled: false }), undefined);
    assert.equal(decideHedge({ ...request, kind: "once" }), undefined);
    assert.equal(decideHedge({ ...request, answer: "streamed" }), undefined);
    assert.equal(decideHedge({ ...request, bodyKept: false }), undefined);
    assert.equal(decideHedge({ ...request, attempts: 3 }), undefined);
    assert.equal(decideHedge({ ...request, afterMs: undefined }), undefined);
});
