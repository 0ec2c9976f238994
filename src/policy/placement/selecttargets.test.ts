import assert from "node:assert/strict";
import { test } from "node:test";
import type { Availability } from "./availability.js";
import { Exclusion } from "./exclusion.js";
import { FullBackoff } from "./fullbackoff.js";
import type { Selectable } from "./selectable.js";
import { selectTargets } from "./selecttargets.js";

const target = (availability: Availability): Selectable => ({ availability: () => availability });
const [one, other] = [target("available"), target("available")];
const [suspected, draining] = [target("suspected"), target("draining")];
const [full, alsoFull] = [target("full"), target("full")];

test("targets: unattempted available ones first, then suspected, then attempted ones; draining ones never", () => {
    const all = [one, other, suspected, draining];
    assert.deepEqual(selectTargets(all, new Set([one]), 0), [other]);
    assert.deepEqual(selectTargets(all, new Set([one, other]), 0), [suspected]);
    assert.deepEqual(selectTargets(all, new Set([one, other, suspected]), 0), [one, other]);
    assert.deepEqual(selectTargets([draining], new Set(), 0), []);
});

test("targets: full upstreams come after those that were already attempted", () => {
    assert.deepEqual(selectTargets([one, full, other], new Set([one]), 0), [other]);
    assert.deepEqual(selectTargets([one, full, other], new Set([one, other]), 0), [one, other]);
    assert.deepEqual(selectTargets([full, suspected, alsoFull], new Set(), 0), [suspected]);
    assert.deepEqual(selectTargets([full, alsoFull, draining], new Set([full]), 0), [full, alsoFull]);
});

test("full backoff: doubles with each refusal up to a maximum, and resets when the upstream serves a request", () => {
    const fullness = new FullBackoff();
    const activeUntil = (from: number): number => {
        let now = from;
        while (fullness.isActive(now)) {
            now += 100;
        }
        return now;
    };
    assert.equal(fullness.isActive(0), false);
    fullness.recordRefusal(1000);
    fullness.recordRefusal(1100);
    assert.equal(activeUntil(1000), 1200);
    fullness.recordRefusal(1200);
    assert.equal(activeUntil(1200), 1600);
    [2000, 4000, 8000, 16_000].forEach(now => fullness.recordRefusal(now));
    assert.equal(activeUntil(16_000), 19_200);
    fullness.recordServed();
    fullness.recordRefusal(20_000);
    assert.equal(activeUntil(20_000), 20_200);
});

test("exclusion: each cause has its own duration, and the latest end counts", () => {
    const avoidance = new Exclusion();
    assert.equal(avoidance.isActive(0), false);
    avoidance.start("leaving", 0);
    avoidance.start("absent", 0);
    assert.equal(avoidance.isActive(1999), true);
    assert.equal(avoidance.isActive(2000), false);
});
