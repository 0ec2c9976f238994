import assert from "node:assert/strict";
import { test } from "node:test";
import type { RequestId } from "../ids/requestid.js";
import { Ledger } from "./ledger.js";

const requestId = (text: string): RequestId => text as RequestId;

test("ledger: a queued request that is revoked never starts", () => {
    const ledger = new Ledger(10);
    assert.equal(ledger.admit(requestId("a"), 100, 0), "admitted");
    assert.equal(ledger.revoke(requestId("a"), 100, 1), "revoked");
    assert.equal(ledger.start(requestId("a"), 2), false);
});

test("ledger: a request that arrives after its tombstone is refused", () => {
    const ledger = new Ledger(10);
    assert.equal(ledger.revoke(requestId("a"), 100, 1), "revoked");
    assert.equal(ledger.admit(requestId("a"), 100, 2), "revoked");
});

test("ledger: after the deadline a revocation proves nothing and the request is not admitted", () => {
    const ledger = new Ledger(10);
    assert.equal(ledger.revoke(requestId("a"), 100, 100), "unknown");
    assert.equal(ledger.admit(requestId("a"), 100, 100), "expired");
});

test("ledger: a full ledger refuses new requests and evicts no entry before its deadline", () => {
    const ledger = new Ledger(1);
    ledger.admit(requestId("a"), 5000, 0);
    assert.equal(ledger.admit(requestId("b"), 5000, 2000), "full");
    assert.equal(ledger.revoke(requestId("c"), 5000, 2000), "unknown");
    assert.equal(ledger.start(requestId("a"), 2000), true);
    ledger.finish(requestId("a"));
    assert.equal(ledger.admit(requestId("b"), 9000, 6000), "admitted");
});

test("ledger: a request that runs or has run is not revoked", () => {
    const ledger = new Ledger(10);
    ledger.admit(requestId("a"), 100, 0);
    ledger.start(requestId("a"), 1);
    assert.equal(ledger.revoke(requestId("a"), 100, 2), "running");
    ledger.finish(requestId("a"));
    assert.equal(ledger.revoke(requestId("a"), 100, 3), "done");
    assert.equal(ledger.admit(requestId("a"), 100, 4), "duplicate");
});
