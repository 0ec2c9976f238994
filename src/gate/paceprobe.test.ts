import assert from "node:assert/strict";
import { test } from "node:test";
import { PaceWatch } from "./pacewatch.js";

const LATER_MS = 1000;

/** A watch whose questions are answered with `told`, and the process stands still for `stallMs` before it reads on. */
const watchOf = (told: number | undefined, stallMs: number): PaceWatch => {
    let now = 0;
    const watch: PaceWatch = new PaceWatch({
        clock: () => now,
        mayAsk: () => true,
        ask: async () => {
            if (told === undefined) {
                throw new Error("no word");
            }
            watch.heard(told);
            now += stallMs;
        },
    });
    watch.heard(1);
    now += LATER_MS;
    return watch;
};

test("pace: an answer to this request's question is believed, however long the process stood still", async () => {
    assert.equal(await watchOf(4, 0).isSlow(), true);
    assert.equal(await watchOf(4, LATER_MS).isSlow(), true);
    assert.equal(await watchOf(1, LATER_MS).isSlow(), false);
});

test("pace: without an answer nothing is held against the upstream", async () => {
    assert.equal(await watchOf(undefined, 0).isSlow(), false);
});
