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

test("model settings: flags are parsed, and each invalid flag is reported with its value", () => {
    const settings = modelSettings(FLAGS);
    assert.ok(!Array.isArray(settings));
    assert.equal(settings.policy.keepsKneeShare, false);
    assert.equal(settings.troubles.length, 1);
    const errors = modelSettings({ ...FLAGS, hosts: "many", policy: "best", load: "0" });
    assert.ok(Array.isArray(errors));
    assert.deepEqual(errors.map(line => line.split(":")[0]), ["--hosts many", "--load 0", "--policy best"]);
    assert.match(errors[2]!, /usual, no-pace-wait/);
});
