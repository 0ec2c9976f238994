import assert from "node:assert/strict";
import { test } from "node:test";
import { Suspicion } from "./suspicion.js";

test("suspicion: after the pause, a single request probes the gate", () => {
    const suspicion = new Suspicion();
    suspicion.recordFailure(0);
    assert.equal(suspicion.isActive(999), true);
    assert.equal(suspicion.isActive(1000), false);
    suspicion.recordProbe(1000);
    assert.equal(suspicion.isActive(1001), true);
});

test("suspicion: a response ends it at once", () => {
    const suspicion = new Suspicion();
    suspicion.recordFailure(0);
    suspicion.clear();
    assert.equal(suspicion.isActive(1), false);
    assert.equal(suspicion.isSuspected, false);
});
