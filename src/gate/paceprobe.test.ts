import assert from "node:assert/strict";
import { test } from "node:test";
import { Pace } from "../policy/failure/pace.js";
import { PaceProbe } from "./paceprobe.js";

const LATER_MS = 1000;

/**
 * Creates a probe to which the upstream reports the pace `reported`, or does not respond if that is undefined. The
 * process stalls for `stallMs` before it handles the response.
 */
const createProbe = (reported: number | undefined, stallMs: number): PaceProbe => {
    let now = 0;
    const probe: PaceProbe = new PaceProbe({
        clock: () => now,
        pace: new Pace(),
        mayProbePace: () => true,
        probe: async () => {
            if (reported === undefined) {
                throw new Error("no response");
            }
            probe.record(reported);
            now += stallMs;
        },
    });
    probe.record(1);
    now += LATER_MS;
    return probe;
};

test("pace probe: a response to the request's own probe is fresh, however long the process stalled", async () => {
    assert.equal(await createProbe(4, 0).shouldRedirect({ choices: 1, workMs: 0 }), true);
    assert.equal(await createProbe(4, LATER_MS).shouldRedirect({ choices: 1, workMs: 0 }), true);
    assert.equal(await createProbe(1, LATER_MS).shouldRedirect({ choices: 1, workMs: 0 }), false);
});

test("pace probe: an upstream that does not respond is not treated as slow", async () => {
    assert.equal(await createProbe(undefined, 0).shouldRedirect({ choices: 1, workMs: 0 }), false);
});
