import assert from "node:assert/strict";
import { test } from "node:test";
import { HeldMemory } from "./heldmemory.js";

const holder = (name: string): { readonly name: string; } => ({ name });

test("held memory: nobody gives up anything up to the bound, and the holder of the most bytes beyond it", () => {
    const memory = new HeldMemory(100);
    const [small, large, late] = ["small", "large", "late"].map(holder);
    memory.add(small!, 40);
    memory.add(large!, 60);
    assert.equal(memory.excess(), undefined);
    memory.add(late!, 1);
    assert.equal(memory.excess(), large);
    memory.remove(large!);
    assert.equal(memory.heldBytes, 41);
    assert.equal(memory.excess(), undefined);
});

test("held memory: all is free once each holder has given back what it took", () => {
    const memory = new HeldMemory(10);
    const holders = ["a", "b", "c"].map(holder);
    holders.forEach((each, index) => memory.add(each, index * 10));
    holders.forEach((each, index) => memory.add(each, -index * 10));
    assert.equal(memory.heldBytes, 0);
    assert.equal(memory.excess(), undefined);
});
