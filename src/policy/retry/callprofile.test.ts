import assert from "node:assert/strict";
import { test } from "node:test";
import type { ServiceName } from "../../ids/servicename.js";
import { CallProfile } from "./callprofile.js";
import { canAffordCalls } from "./canaffordcalls.js";

const results = "results" as ServiceName;
const entries = "entries" as ServiceName;

test("call profile: averages the calls of recent runs and drops services that are no longer called", () => {
    const profile = new CallProfile();
    assert.equal(profile.callsPerRun.size, 0);
    profile.observe(new Map([[results, 2]]));
    assert.equal(profile.callsPerRun.get(results), 2);
    for (let run = 0; run < 100; run++) {
        profile.observe(new Map([[entries, 1]]));
    }
    assert.deepEqual([...profile.callsPerRun.keys()], [entries]);
    assert.equal(profile.callsPerRun.get(entries), 1);
});

test("call profile: a repeated run starts only if the calls of all repeated runs in progress can be afforded", () => {
    const callsPerRun = new Map([[results, 1.5], [entries, 0.5]]);
    const repeatsLeft = (service: ServiceName): number => service === results ? 3 : 10;
    assert.equal(canAffordCalls(callsPerRun, 0, repeatsLeft), true);
    assert.equal(canAffordCalls(callsPerRun, 1, repeatsLeft), true);
    assert.equal(canAffordCalls(callsPerRun, 2, repeatsLeft), false);
    assert.equal(canAffordCalls(callsPerRun, 0, () => -1), false);
    assert.equal(canAffordCalls(new Map(), 100, () => -1), true, "a run that makes no calls needs no budget");
});
