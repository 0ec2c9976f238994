import assert from "node:assert/strict";
import { test } from "node:test";
import type { ServiceName } from "../../ids/servicename.js";
import { CallProfile } from "./callprofile.js";
import { canAffordCalls } from "./canaffordcalls.js";

const results = "results" as ServiceName;
const entries = "entries" as ServiceName;

test("calls: the profile follows how many calls the runs make, and forgets those that are made no more", () => {
    const profile = new CallProfile();
    assert.equal(profile.perRun.size, 0);
    profile.observe(new Map([[results, 2]]));
    assert.equal(profile.perRun.get(results), 2);
    for (let run = 0; run < 100; run++) {
        profile.observe(new Map([[entries, 1]]));
    }
    assert.deepEqual([...profile.perRun.keys()], [entries]);
    assert.equal(profile.perRun.get(entries), 1);
});

test("calls: a repeated run starts only where the calls of all that are under way can be afforded", () => {
    const perRun = new Map([[results, 1.5], [entries, 0.5]]);
    const left = (service: ServiceName): number => service === results ? 3 : 10;
    assert.equal(canAffordCalls(perRun, 0, left), true);
    assert.equal(canAffordCalls(perRun, 1, left), true);
    assert.equal(canAffordCalls(perRun, 2, left), false);
    assert.equal(canAffordCalls(perRun, 0, () => -1), false);
    assert.equal(canAffordCalls(new Map(), 100, () => -1), true, "a run that makes no calls adds none");
});
