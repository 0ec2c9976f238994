import assert from "node:assert/strict";
import { test } from "node:test";
import { seededRandom } from "../../../standin/seededrandom.js";
import type { RuleName } from "../../ids/rulename.js";
import type { TeamName } from "../../ids/teamname.js";
import { ColdGuard } from "../cold/coldguard.js";
import { Pace } from "../failure/pace.js";
import { SendRate } from "../rate/sendrate.js";
import { StatedRateLimiter } from "../rate/statedratelimiter.js";
import { Admission } from "./admission.js";
import { LearnedLimit } from "./learnedlimit.js";
import { LevelClock } from "./levelclock.js";
import type { QueuedRequest } from "./queuedrequest.js";
import { RuleTimes } from "./ruletimes.js";

const RULE = "r" as RuleName;
const DURATION_MS = 30_000;
const MEAN_GAP_BETWEEN_STALLS_MS = 400;
const SEEDS = Array.from({ length: 20 }, (_, index) => index + 1);

type Shape = { readonly slots: number; readonly requestsPerSecond: number; readonly workMs: number; };
type Job = { remainingMs: number; readonly startedAt: number; readonly startReading: Float64Array; };

const createRequest = (now: number): QueuedRequest => ({
    priority: "normal",
    team: "a" as TeamName,
    deadline: now + 1000,
    maxWaitMs: 200,
    choices: 0,
    nearChoices: 0,
});

/**
 * Simulates an upstream with free slots, whose work takes as long at each level, but which stands still for 30 to
 * 100 ms now and then. Returns the share of the time in which its limit was below its slots.
 */
const shareOfTimeLimited = ({ slots, requestsPerSecond, workMs }: Shape, seed: number): number => {
    const random = seededRandom(seed);
    const levels = new LevelClock(slots, 0);
    const limit = new LearnedLimit(slots);
    const sendRate = new SendRate(new ColdGuard(0), new StatedRateLimiter());
    const admission = new Admission(limit, new RuleTimes(), levels, new Pace(), sendRate);
    let jobs: Job[] = [];
    let nextArrivalAt = 0;
    let stall = { from: MEAN_GAP_BETWEEN_STALLS_MS, to: MEAN_GAP_BETWEEN_STALLS_MS };
    let limitedMs = 0;
    const startJob = (now: number): void => {
        jobs.push({ remainingMs: workMs * (0.8 + 0.4 * random()), startedAt: now, startReading: levels.read(now) });
    };
    const finishJob = ({ startedAt, startReading }: Job, now: number): void => {
        const work = levels.read(now).map((ms, level) => ms - startReading[level]!);
        admission.recordFinished(now - startedAt, { rule: RULE, work }, now);
        admission.dequeue(now).run.forEach(() => startJob(now));
    };
    for (let now = 0; now < DURATION_MS; now++) {
        if (now >= stall.to) {
            const from = stall.to - Math.log(1 - random()) * MEAN_GAP_BETWEEN_STALLS_MS;
            stall = { from, to: from + 30 + 70 * random() };
        }
        for (; nextArrivalAt <= now; nextArrivalAt -= Math.log(1 - random()) * 1000 / requestsPerSecond) {
            if (admission.admit(createRequest(now), now).type === "run") {
                startJob(now);
            }
        }
        if (now < stall.from) {
            jobs.forEach(job => job.remainingMs -= 1);
            const finishedJobs = jobs.filter(job => job.remainingMs <= 0);
            jobs = jobs.filter(job => job.remainingMs > 0);
            finishedJobs.forEach(job => finishJob(job, now + 1));
        }
        limitedMs += limit.bestLimit < slots ? 1 : 0;
    }
    return limitedMs / DURATION_MS;
};

const SHAPES: Shape[] = [
    { slots: 4, requestsPerSecond: 50, workMs: 25 },
    { slots: 6, requestsPerSecond: 60, workMs: 50 },
    { slots: 12, requestsPerSecond: 100, workMs: 50 },
];

// Guards against callers that are refused although slots are free: requests that accumulated in a stall looked like its
// cause.
for (const shape of SHAPES) {
    test(`learned limit: stalls of an upstream with ${shape.slots} slots do not lower its limit`, () => {
        const share = SEEDS.reduce((sum, seed) => sum + shareOfTimeLimited(shape, seed), 0) / SEEDS.length;
        assert.ok(share < 0.1, `below its slots for ${share.toFixed(3)} of the time`);
    });
}
