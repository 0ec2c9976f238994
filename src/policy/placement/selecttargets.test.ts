import assert from "node:assert/strict";
import { test } from "node:test";
import type { Availability } from "./availability.js";
import { Avoidance } from "./avoidance.js";
import type { Selectable } from "./selectable.js";
import { selectTargets } from "./selecttargets.js";

const target = (availability: Availability): Selectable => ({ availability: () => availability });
const [one, other] = [target("available"), target("available")];
const [suspected, draining] = [target("suspected"), target("draining")];

test("targets: available ones that were not tried, or else suspected ones, or else tried ones; draining ones never", () => {
    const all = [one, other, suspected, draining];
    assert.deepEqual(selectTargets(all, new Set([one]), 0), [other]);
    assert.deepEqual(selectTargets(all, new Set([one, other]), 0), [suspected]);
    assert.deepEqual(selectTargets(all, new Set([one, other, suspected]), 0), [one, other]);
    assert.deepEqual(selectTargets([draining], new Set(), 0), []);
});

test("avoidance: each cause has its own time, and the later end counts", () => {
    const avoidance = new Avoidance();
    assert.equal(avoidance.isActive(0), false);
    avoidance.avoid("leaving", 0);
    avoidance.avoid("absent", 0);
    assert.equal(avoidance.isActive(1999), true);
    assert.equal(avoidance.isActive(2000), false);
});
