/**
 * Simulates one upstream under full load behind a concurrency limit, in steps of a millisecond.
 *
 * Only tests of concurrency limits use it, not the daemon.
 */
import { LevelClock } from "../admission/levelclock.js";
import type { SlotLimit } from "../admission/slotlimit.js";
import type { RandomSource } from "../randomsource.js";
import { lognormal } from "./lognormal.js";

/** Describes how the upstream works. Times are milliseconds. */
type UpstreamShape = {
    readonly slots: number;
    /** The share of the slots above which work takes `kneeSlowdown` times as long; 1 for no knee. */
    readonly knee: number;
    readonly kneeSlowdown: number;
    readonly workMs: number;
    /** Every `intervalMs` the upstream becomes `slowdown` times as slow with the probability `share`, else as usual. */
    readonly noise: { readonly share: number; readonly slowdown: number; readonly intervalMs: number; };
    /** For `coldMs` from the start on, work takes `coldSlowdown` times as long. */
    readonly coldMs: number;
    readonly coldSlowdown: number;
    /**
     * True if the duration of a job is fixed at its start; false if it follows noise, cold and the knee while it
     * runs.
     */
    readonly isDurationFixedAtStart: boolean;
};

type Job = {
    remainingMs: number;
    readonly workMs: number;
    readonly startReading: Float64Array;
    readonly pace: number;
    readonly slowdown: number;
};

/** Starts a new job whenever the limit allows it. */
export class SaturatedUpstream {
    finishedCount = 0;
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

    /** Simulates `durationMs` and returns the work of the jobs that finished, in milliseconds at the usual pace. */
    run(durationMs: number): number {
        let finishedWorkMs = 0;
        for (const end = this.#now + durationMs; this.#now < end; this.#now += 1) {
            this.#updateNoise();
            this.#startJobs();
            finishedWorkMs += this.#advanceJobs();
        }
        return finishedWorkMs;
    }

    /**
     * Returns the pace that the upstream reports, which includes noise and cold but not the slowdown above the knee.
     */
    #reportedPace(): number {
        const { coldMs, coldSlowdown } = this.shape;
        return this.#pace * (this.#now < coldMs ? coldSlowdown : 1);
    }

    #updateNoise(): void {
        const { noise } = this.shape;
        if (this.#now % noise.intervalMs === 0) {
            this.#pace = this.random() < noise.share ? noise.slowdown : 1;
        }
    }

    #startJobs(): void {
        while (this.#jobs.length < this.limit.current()) {
            const workMs = this.shape.workMs * lognormal(this.random);
            const pace = this.#reportedPace();
            const slowdown = pace * this.#kneeSlowdown(this.#jobs.length + 1);
            this.#jobs.push({
                remainingMs: workMs,
                workMs,
                startReading: this.#clock.read(this.#now),
                pace,
                slowdown,
            });
            this.#clock.setConcurrency(this.#jobs.length, this.#now);
        }
    }

    #kneeSlowdown(running: number): number {
        const { slots, knee, kneeSlowdown } = this.shape;
        return running > knee * slots ? kneeSlowdown : 1;
    }

    /** Simulates a millisecond of all jobs and returns the work of those that finished. */
    #advanceJobs(): number {
        const { workMs, isDurationFixedAtStart } = this.shape;
        const slowdown = this.#reportedPace() * this.#kneeSlowdown(this.#jobs.length);
        const finishedJobs: Job[] = [];
        for (const job of this.#jobs) {
            job.remainingMs -= 1 / (isDurationFixedAtStart ? job.slowdown : slowdown);
            if (job.remainingMs <= 0) {
                finishedJobs.push(job);
            }
        }
        this.#jobs = this.#jobs.filter(job => job.remainingMs > 0);
        for (const job of finishedJobs) {
            this.finishedCount += 1;
            const now = this.#clock.read(this.#now + 1);
            this.limit.observe(now.map((spentMs, level) => (spentMs - job.startReading[level]!) / (workMs * job.pace)));
            this.#clock.setConcurrency(this.#jobs.length, this.#now + 1);
        }
        return finishedJobs.reduce((sum, job) => sum + job.workMs, 0);
    }
}
