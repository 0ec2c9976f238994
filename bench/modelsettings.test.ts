import assert from "node:assert/strict";
import { test } from "node:test";
import { modelSettings } from "./modelsettings.js";

const FLAGS = {
    hosts: "13",
    load: "1.1",
    policy: "no-memory",
    trouble: "restart",
    seed: "3",
    seeds: "2",
    seconds: "20",
    plot: undefined,
};

test("model settings: flags are read, and a wrong one is named with its value", () => {
    const settings = modelSettings(FLAGS);
    assert.ok(!Array.isArray(settings));
    assert.equal(settings.policy.keepsKneeShare, false);
    assert.equal(settings.troubles.length, 1);
    const wrong = modelSettings({ ...FLAGS, hosts: "many", policy: "best", load: "0" });
    assert.ok(Array.isArray(wrong));
    assert.deepEqual(wrong.map(line => line.split(":")[0]), ["--hosts many", "--load 0", "--policy best"]);
    assert.match(wrong[2]!, /usual, no-pace-wait/);
});
