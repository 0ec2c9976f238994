import assert from "node:assert/strict";
import { test } from "node:test";
import type { RequestKey } from "../../ids/requestkey.js";
import { InterruptedRuns } from "./interruptedruns.js";

const [a, b, c] = ["a", "b", "c"] as RequestKey[] as [RequestKey, RequestKey, RequestKey];

test("interrupted runs: requests interrupted shortly before a crash were in progress, each returned once", () => {
    const runs = new InterruptedRuns();
    runs.record(a, false, 0);
    runs.record(b, false, 1500);
    runs.record(b, false, 1501);
    runs.record(c, false, 1502);
    assert.deepEqual(runs.takeInProgress(2500), [b, c]);
    assert.deepEqual(runs.takeInProgress(2500), []);
});

test("interrupted runs: a cancelled request counts as in progress for a short time", () => {
    const runs = new InterruptedRuns();
    runs.record(a, true, 0);
    runs.record(b, true, 400);
    assert.deepEqual(runs.takeInProgress(800), [b]);
});

test("interrupted runs: a response to a request sent later proves that the upstream had not crashed", () => {
    const runs = new InterruptedRuns();
    runs.record(a, false, 10);
    runs.record(b, false, 30);
    runs.recordResponse(20);
    assert.deepEqual(runs.takeInProgress(40), [b]);
});
