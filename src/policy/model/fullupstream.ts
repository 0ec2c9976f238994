/**
 * An upstream for tests of limits: a number of slots, work that takes longer when too many are in use, and noise.
 *
 * Simulates one upstream behind a limit, in steps of a millisecond; nothing of it is used by the daemon.
 */
import { LevelClock } from "../admission/levelclock.js";
import type { SlotLimit } from "../admission/slotlimit.js";
import type { RandomSource } from "../randomsource.js";
import { lognormal } from "./lognormal.js";

/** Times in milliseconds. */
type UpstreamShape = {
    readonly slots: number;
    /** Of the slots: with more in use, work takes `kneeTimes` as long; 1 for none. */
    readonly knee: number;
    readonly kneeTimes: number;
    readonly workMs: number;
    /** At each moment a share of all upstreams works so many times slower, drawn again every so often. */
    readonly noise: { readonly share: number; readonly times: number; readonly everyMs: number; };
    /** From the start on, work takes `coldTimes` as long. */
    readonly coldMs: number;
    readonly coldTimes: number;
    /** How long work takes is settled when it begins, or follows noise, cold and fullness while it goes on. */
    readonly isSetAtStart: boolean;
};

type Job = {
    leftMs: number;
    readonly workMs: number;
    readonly startReading: Float64Array;
    readonly pace: number;
    readonly slowdown: number;
};

/** Kept full from the first request on. */
export class FullUpstream {
    finished = 0;
    #now = 0;
    #pace = 1;
    #jobs: Job[] = [];
    readonly #clock: LevelClock;

    constructor(
        private readonly shape: UpstreamShape,
        private readonly limit: SlotLimit,
        private readonly random: RandomSource,
    ) {
        this.#clock = new LevelClock(shape.slots, 0);
    }

    /** Runs for a while; the work that was done, in milliseconds of work at the usual speed. */
    run(durationMs: number): number {
        let finishedWorkMs = 0;
        for (const end = this.#now + durationMs; this.#now < end; this.#now += 1) {
            this.#updateNoise();
            this.#startJobs();
            finishedWorkMs += this.#advanceJobs();
        }
        return finishedWorkMs;
    }

    /** What the upstream says of its pace: noise and cold, and nothing of how full it is. */
    #reportedPace(): number {
        const { coldMs, coldTimes } = this.shape;
        return this.#pace * (this.#now < coldMs ? coldTimes : 1);
    }

    #updateNoise(): void {
        const { noise } = this.shape;
        if (this.#now % noise.everyMs === 0) {
            this.#pace = this.random() < noise.share ? noise.times : 1;
        }
    }

    #startJobs(): void {
        while (this.#jobs.length < this.limit.current()) {
            const workMs = this.shape.workMs * lognormal(this.random);
            const pace = this.#reportedPace();
            const slowdown = pace * this.#kneeSlowdown(this.#jobs.length + 1);
            this.#jobs.push({
                leftMs: workMs,
                workMs,
                startReading: this.#clock.read(this.#now),
                pace,
                slowdown: slowdown,
            });
            this.#clock.setRunning(this.#jobs.length, this.#now);
        }
    }

    #kneeSlowdown(running: number): number {
        const { slots, knee, kneeTimes } = this.shape;
        return running > knee * slots ? kneeTimes : 1;
    }

    /** A millisecond of work at each job. */
    #advanceJobs(): number {
        const { workMs, isSetAtStart } = this.shape;
        const slowdown = this.#reportedPace() * this.#kneeSlowdown(this.#jobs.length);
        const finishedJobs: Job[] = [];
        for (const job of this.#jobs) {
            job.leftMs -= 1 / (isSetAtStart ? job.slowdown : slowdown);
            if (job.leftMs <= 0) {
                finishedJobs.push(job);
            }
        }
        this.#jobs = this.#jobs.filter(job => job.leftMs > 0);
        for (const job of finishedJobs) {
            this.finished += 1;
            const now = this.#clock.read(this.#now + 1);
            this.limit.observe(now.map((spentMs, level) => (spentMs - job.startReading[level]!) / (workMs * job.pace)));
            this.#clock.setRunning(this.#jobs.length, this.#now + 1);
        }
        return finishedJobs.reduce((sum, job) => sum + job.workMs, 0);
    }
}
