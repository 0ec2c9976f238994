import assert from "node:assert/strict";
import { test } from "node:test";
import type { RequestId } from "../ids/requestid.js";
import { Ledger } from "./ledger.js";

const id = (text: string): RequestId => text as RequestId;

test("ledger: a queued request that is revoked never starts", () => {
    const ledger = new Ledger(10);
    assert.equal(ledger.admit(id("a"), 100, 0), "admitted");
    assert.equal(ledger.revoke(id("a"), 100, 1), "revoked");
    assert.equal(ledger.start(id("a"), 2), false);
});

test("ledger: a request that arrives after its tombstone is refused", () => {
    const ledger = new Ledger(10);
    assert.equal(ledger.revoke(id("a"), 100, 1), "revoked");
    assert.equal(ledger.admit(id("a"), 100, 2), "revoked");
});

test("ledger: after the deadline nothing is proven and nothing is admitted", () => {
    const ledger = new Ledger(10);
    assert.equal(ledger.revoke(id("a"), 100, 100), "unknown");
    assert.equal(ledger.admit(id("a"), 100, 100), "expired");
});

test("ledger: a full ledger refuses and forgets nothing early", () => {
    const ledger = new Ledger(1);
    ledger.admit(id("a"), 5000, 0);
    assert.equal(ledger.admit(id("b"), 5000, 2000), "full");
    assert.equal(ledger.revoke(id("c"), 5000, 2000), "unknown");
    assert.equal(ledger.start(id("a"), 2000), true);
    ledger.finish(id("a"));
    assert.equal(ledger.admit(id("b"), 9000, 6000), "admitted");
});

test("ledger: a running request is not revoked, a done one says so", () => {
    const ledger = new Ledger(10);
    ledger.admit(id("a"), 100, 0);
    ledger.start(id("a"), 1);
    assert.equal(ledger.revoke(id("a"), 100, 2), "running");
    ledger.finish(id("a"));
    assert.equal(ledger.revoke(id("a"), 100, 3), "done");
    assert.equal(ledger.admit(id("a"), 100, 4), "duplicate");
});
