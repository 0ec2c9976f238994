import assert from "node:assert/strict";
import { test } from "node:test";
import type { RequestKey } from "../../ids/requestkey.js";
import { ServedRequests } from "./servedrequests.js";

test("served requests: those served last are known, a bounded number", () => {
    const served = new ServedRequests();
    const often = "often" as RequestKey;
    for (let at = 0; at < 10_000; at++) {
        served.add(`r${at}` as RequestKey);
        served.add(often);
    }
    assert.equal(served.has(often), true);
    assert.equal(served.has("r9999" as RequestKey), true);
    assert.equal(served.has("r0" as RequestKey), false);
});
