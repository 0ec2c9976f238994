import assert from "node:assert/strict";
import { test } from "node:test";
import { Pace } from "../policy/failure/pace.js";
import { PaceProbe } from "./paceprobe.js";

const LATER_MS = 1000;

/** A watch whose questions are answered with `told`, and the process stands still for `stallMs` before it reads on. */
const watchOf = (told: number | undefined, stallMs: number): PaceProbe => {
    let now = 0;
    const probe: PaceProbe = new PaceProbe({
        clock: () => now,
        pace: new Pace(),
        mayAsk: () => true,
        ask: async () => {
            if (told === undefined) {
                throw new Error("no word");
            }
            probe.record(told);
            now += stallMs;
        },
    });
    probe.record(1);
    now += LATER_MS;
    return probe;
};

test("pace: an answer to this request's question is believed, however long the process stood still", async () => {
    assert.equal(await watchOf(4, 0).shouldSendOn({ choices: 1, workMs: 0 }), true);
    assert.equal(await watchOf(4, LATER_MS).shouldSendOn({ choices: 1, workMs: 0 }), true);
    assert.equal(await watchOf(1, LATER_MS).shouldSendOn({ choices: 1, workMs: 0 }), false);
});

test("pace: without an answer nothing is held against the upstream", async () => {
    assert.equal(await watchOf(undefined, 0).shouldSendOn({ choices: 1, workMs: 0 }), false);
});
