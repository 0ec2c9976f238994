/**
 * A model of daemons that share nothing, in front of a service whose runs call another one.
 *
 * Whatever fails, whichever daemons restart and however the load rises and falls: what each service gets beyond the first arrivals
 * of its requests stays within the bound of all daemons.
 */
import fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import type { ServiceName } from "../../ids/servicename.js";
import { canAffordCalls } from "./canaffordcalls.js";
import type { Retries } from "./retries.js";
import { ServiceRetries } from "./serviceretries.js";

const RUNS = Number(process.env["WINGLOCK_MODEL_RUNS"] ?? 80);
const SEED = 20261202;
const STEP_MS = 100;
const WINDOW_MS = 10_000;
const STEPS = 600;
const BOUND = { ratio: 0.2, slack: 58, windowMs: WINDOW_MS };
const MAX_ATTEMPTS = 3;
const OUTER = "outer" as ServiceName;
const INNER = "inner" as ServiceName;
/** A daemon is back so long after its end. */
const DOWN_STEPS = 5;

/** A fault planted in a copy of the rule, to see that the search finds it. */
type Planted = "none" | "free-retry" | "start-with-reserve" | "undivided-slack" | "calls-uncounted" | "calls-unasked";

/** For some seconds: requests a step, the share of runs that fail, and daemons that are restarted a second. */
const phase = fc.record({
    steps: fc.integer({ min: 5, max: 200 }),
    perStep: fc.integer({ min: 0, max: 30 }),
    failing: fc.constantFrom(0, 0.05, 0.5, 1),
    hedged: fc.constantFrom(0, 0.02, 1),
    restartsPerStep: fc.constantFrom(0, 0, 0.05, 0.5),
});

const scenario = fc.record({
    seed: fc.integer(),
    daemons: fc.integer({ min: 1, max: 16 }),
    calls: fc.constantFrom(0, 1, 1.4, 2),
    phases: fc.array(phase, { minLength: 2, maxLength: 12 }),
});

type Phase = typeof phase extends fc.Arbitrary<infer T> ? T : never;
type Scenario = typeof scenario extends fc.Arbitrary<infer T> ? T : never;

/** A small generator (mulberry32), so that a scenario is the same at each run. */
const randomFrom = (seed: number): () => number => {
    let state = seed;
    return () => {
        state = (state + 0x6d2b79f5) | 0;
        let mixed = Math.imul(state ^ (state >>> 15), 1 | state);
        mixed = (mixed + Math.imul(mixed ^ (mixed >>> 7), 61 | mixed)) ^ mixed;
        return ((mixed ^ (mixed >>> 14)) >>> 0) / 2 ** 32;
    };
};

/** What one service got, by step. */
class Traffic {
    readonly requests = new Float64Array(STEPS);
    readonly beyond = new Float64Array(STEPS);

    /** The worst window: how many more repeats than its bound. */
    excess(): number {
        const width = WINDOW_MS / STEP_MS;
        const sum = (counts: Float64Array, from: number): number =>
            counts.subarray(Math.max(0, from), Math.max(0, from + width)).reduce((total, count) => total + count, 0);
        let worst = -Infinity;
        for (let from = 0; from + width <= STEPS; from++) {
            const requests = Math.max(...[0, width, width / 2].map(back => sum(this.requests, from - back)));
            worst = Math.max(worst, sum(this.beyond, from) - BOUND.ratio * requests - BOUND.slack);
        }
        return worst;
    }
}

class Model {
    readonly outer = new Traffic();
    readonly inner = new Traffic();
    readonly #daemons: ServiceRetries[];
    readonly #upAt: number[];
    readonly #random: () => number;
    #step = 0;

    constructor(private readonly setup: Scenario, private readonly planted: Planted) {
        this.#random = randomFrom(setup.seed);
        this.#daemons = Array.from({ length: setup.daemons }, () => this.#start(0));
        this.#upAt = this.#daemons.map(() => 0);
    }

    run(): void {
        const { phases } = this.setup;
        let at = 0;
        let left = phases[0]!.steps;
        for (this.#step = 0; this.#step < STEPS; this.#step++) {
            if (left === 0) {
                at = (at + 1) % phases.length;
                left = phases[at]!.steps;
            }
            left -= 1;
            this.#play(phases[at]!);
        }
    }

    get #now(): number {
        return this.#step * STEP_MS;
    }

    #start(startedAt: number): ServiceRetries {
        const since = this.planted === "start-with-reserve" ? -Infinity : startedAt;
        const retries = new ServiceRetries({ bound: BOUND, burst: 1000, startedAt: since });
        if (this.planted !== "undivided-slack") {
            retries.recordDaemons(this.setup.daemons);
        }
        return retries;
    }

    #play(now: Phase): void {
        if (this.#random() < now.restartsPerStep) {
            const struck = Math.floor(this.#random() * this.#daemons.length);
            this.#upAt[struck] = this.#step + DOWN_STEPS;
            this.#daemons[struck] = this.#start((this.#step + DOWN_STEPS) * STEP_MS);
        }
        for (let request = 0; request < now.perStep; request++) {
            this.#send(this.outer, this.#draw(), false, now);
        }
    }

    #retries(at: number, name: ServiceName): Retries {
        return this.#daemons[at]!.of({ name, retryRatio: 1 }, this.#now);
    }

    #draw(): number {
        return Math.floor(this.#random() * this.#daemons.length);
    }

    /** One request that comes in by a daemon, if that is up. */
    #send(traffic: Traffic, at: number, ofRepeat: boolean, now: Phase): void {
        if (this.#step < this.#upAt[at]!) {
            return;
        }
        const service = traffic === this.outer ? OUTER : INNER;
        const retries = (): Retries => this.#retries(at, service);
        if (ofRepeat && this.planted !== "calls-uncounted") {
            retries().budget.recordRepeat(this.#now);
        }
        else {
            retries().budget.recordRequest(this.#now);
            traffic.requests[this.#step]! += 1;
        }
        this.#arrive(traffic, ofRepeat, now);
        for (let attempt = 1; attempt < MAX_ATTEMPTS; attempt++) {
            const { budget, allowance } = retries();
            const hedged = this.#random() < now.hedged && budget.spendSurplus(allowance, this.#now);
            const failed = this.#random() < now.failing;
            const mayRetry = (): boolean => this.planted === "free-retry" || budget.spend(allowance, this.#now);
            if (!hedged && !(failed && mayRetry())) {
                return;
            }
            this.#arrive(traffic, true, now);
        }
    }

    /** A run beside some daemon, by which its calls come in; that daemon may refuse a repeat. */
    #arrive(traffic: Traffic, repeated: boolean, now: Phase): void {
        const at = this.#draw();
        const { calls } = this.setup;
        if (traffic === this.outer && repeated && this.planted !== "calls-unasked" && !this.#canAfford(at, calls)) {
            return;
        }
        if (repeated) {
            traffic.beyond[this.#step]! += 1;
        }
        const count = traffic === this.outer ? Math.floor(calls) + Number(this.#random() < calls % 1) : 0;
        for (let call = 0; call < count; call++) {
            this.#send(this.inner, at, repeated, now);
        }
    }

    #canAfford(at: number, calls: number): boolean {
        const perRun = new Map(calls === 0 ? [] : [[INNER, calls]]);
        return canAffordCalls(perRun, 0, service => {
            const { budget, allowance } = this.#retries(at, service);
            return budget.left(allowance, this.#now);
        });
    }
}

/** Looks for a scenario in which either service gets more than its bound. */
const search = (planted: Planted): fc.RunDetails<[Scenario]> =>
    fc.check(
        fc.property(scenario, setup => {
            const model = new Model(setup, planted);
            model.run();
            const tooMany = { outer: Math.max(0, model.outer.excess()), inner: Math.max(0, model.inner.excess()) };
            assert.deepEqual(tooMany, { outer: 0, inner: 0 });
        }),
        { numRuns: RUNS, seed: SEED, endOnFailure: true },
    );

test("repeats: daemons that share nothing keep the bound of all, through restarts, hedges, calls and any load", () => {
    const { failed, counterexample, errorInstance } = search("none");
    assert.equal(failed, false, `${String(errorInstance)} in ${JSON.stringify(counterexample)}`);
});

test("repeats: the search finds planted faults", () => {
    const planted: Planted[] = [
        "free-retry",
        "start-with-reserve",
        "undivided-slack",
        "calls-uncounted",
        "calls-unasked",
    ];
    assert.deepEqual(planted.filter(fault => !search(fault).failed), []);
});
