import assert from "node:assert/strict";
import { test } from "node:test";
import { BodyMemory } from "./bodymemory.js";

test("body memory: the bound is never exceeded by reservations, and all is free once they have ended", () => {
    const memory = new BodyMemory(100);
    const first = memory.reserve(60)!;
    assert.equal(memory.reserve(41), undefined);
    const second = memory.reserve(40)!;
    assert.equal(memory.heldBytes, 100);
    first.resize(10);
    assert.equal(memory.heldBytes, 50);
    first.release();
    first.release();
    first.resize(99);
    second.release();
    assert.equal(memory.heldBytes, 0);
    assert.equal(memory.refusedCount, 1);
});
