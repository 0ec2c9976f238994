import assert from "node:assert/strict";
import { test } from "node:test";
import { HeldTokens } from "./heldtokens.js";
import { quotaTimes } from "./quotatimes.js";

const ASKED_AT = 1000;

// Guards against tokens that are used after another counter has issued the same part of the limit.
test("held tokens: a token can't be used after its expiry, which counts from the request for it", () => {
    const held = new HeldTokens();
    held.addGranted(2, ASKED_AT);
    assert.equal(held.take(ASKED_AT + quotaTimes.wantedMs - 1), true);
    assert.equal(held.take(ASKED_AT + quotaTimes.wantedMs), false);
    held.setSpares(2, 0, ASKED_AT, ASKED_AT + 100);
    assert.equal(held.take(ASKED_AT + quotaTimes.spareMs - 1), true);
    assert.equal(held.take(ASKED_AT + quotaTimes.spareMs), false);
});

// Guards against counting a prefetched token twice when it was used before the answer that extends it.
test("held tokens: an answer extends only the tokens that are still held", () => {
    const held = new HeldTokens();
    held.setSpares(2, 0, ASKED_AT, ASKED_AT);
    assert.equal(held.take(ASKED_AT + 10), true);
    held.setSpares(3, 2, ASKED_AT + 5, ASKED_AT + 20);
    assert.equal(held.spares(ASKED_AT + 20), 2);
});
