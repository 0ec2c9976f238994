import assert from "node:assert/strict";
import { test } from "node:test";
import type { RequestKey } from "../ids/requestkey.js";
import { sleep } from "../time/sleep.js";
import { CrashDetector } from "./crashdetector.js";

const [bad, good] = ["bad", "good"] as RequestKey[] as [RequestKey, RequestKey];
const refused = (): Promise<void> => Promise.reject(Object.assign(new Error("refused"), { code: "ECONNREFUSED" }));
const responds = (): Promise<void> => Promise.resolve();

/**
 * Creates a detector that probes with `probe`, and returns it with the requests that it reports and the number of its
 * probes.
 */
const createDetector = (
    probe: () => Promise<void>,
    mayProbe = (): boolean => true,
): { readonly detector: CrashDetector; readonly reported: RequestKey[][]; readonly probeCount: () => number; } => {
    const reported: RequestKey[][] = [];
    let probeCount = 0;
    const detector = new CrashDetector({
        upstream: "u",
        clock: () => performance.now(),
        mayProbe,
        probe: () => {
            probeCount += 1;
            return probe();
        },
        onCrash: (_crash, requests) => reported.push([...requests]),
    });
    return { detector, reported, probeCount: () => probeCount };
};

test("crash detector: reports the runs that broke off in a crash once, after a single probe", async () => {
    const { detector, reported, probeCount } = createDetector(refused);
    [bad, good, bad].forEach(request => detector.recordBrokenRun(request, false));
    await sleep(30);
    detector.recordUnreachable();
    assert.deepEqual([reported, probeCount()], [[[bad, good]], 1]);
});

test("crash detector: never reports runs that broke off while the upstream was alive, not even at its next crash", async () => {
    const { detector, reported } = createDetector(responds);
    detector.recordBrokenRun(bad, false);
    await sleep(30);
    detector.recordUnreachable();
    assert.deepEqual(reported, []);
});

test("crash detector: sends no more probes than the budget allows when connections break off repeatedly", async () => {
    let left = 3;
    const { detector, probeCount } = createDetector(responds, () => left-- > 0);
    for (let round = 0; round < 40; round++) {
        detector.recordBrokenRun(bad, false);
        await sleep(3);
    }
    assert.equal(probeCount(), 3);
    left = 1;
    await sleep(60);
});

test("crash detector: repeats an inconclusive probe a limited number of times", async () => {
    const { detector, probeCount } = createDetector(() => Promise.reject(new Error("reset")));
    detector.recordBrokenRun(bad, false);
    await sleep(80);
    assert.equal(probeCount(), 4);
});
