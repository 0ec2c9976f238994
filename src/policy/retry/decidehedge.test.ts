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
    requestsBehind: 0,
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

test("hedge: a request with others behind it on its connection is hedged sooner, by a quarter at most", () => {
    assert.equal(decideHedge({ ...request, requestsBehind: 1 }), 37.5);
    assert.equal(decideHedge({ ...request, requestsBehind: 4 }), 30);
    assert.equal(decideHedge({ ...request, requestsBehind: 1000 }), 30);
    assert.equal(decideHedge({ ...request, requestsBehind: 4, kind: "once" }), undefined);
});
