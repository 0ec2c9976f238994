import assert from "node:assert/strict";
import { test } from "node:test";
import { Pace } from "../policy/failure/pace.js";
import { PaceProbe } from "./paceprobe.js";

const LATER_MS = 1000;

/** A watch whose questions are answered with `told`, and the process stands still for `stallMs` before it reads on. */
const createProbe = (reported: number | undefined, stallMs: number): PaceProbe => {
    let now = 0;
    const probe: PaceProbe = new PaceProbe({
        clock: () => now,
        pace: new Pace(),
        mayAsk: () => true,
        probe: async () => {
            if (reported === undefined) {
                throw new Error("no word");
            }
            probe.record(reported);
            now += stallMs;
        },
    });
    probe.record(1);
    now += LATER_MS;
    return probe;
};

test("pace: an answer to this request's question is believed, however long the process stood still", async () => {
    assert.equal(await createProbe(4, 0).shouldRedirect({ choices: 1, workMs: 0 }), true);
    assert.equal(await createProbe(4, LATER_MS).shouldRedirect({ choices: 1, workMs: 0 }), true);
    assert.equal(await createProbe(1, LATER_MS).shouldRedirect({ choices: 1, workMs: 0 }), false);
});

test("pace: without an answer nothing is held against the upstream", async () => {
    assert.equal(await createProbe(undefined, 0).shouldRedirect({ choices: 1, workMs: 0 }), false);
});
