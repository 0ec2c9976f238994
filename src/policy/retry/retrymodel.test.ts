/**
 * Simulates daemons that share no state, in front of a service whose runs call a second service.
 *
 * Guards against retry storms: with any mix of failures, hedges, daemon restarts and changes of load, the repeats that
 * each service gets must stay within the bound for all daemons together.
 */
import fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import type { ServiceName } from "../../ids/servicename.js";
import { canAffordCalls } from "./canaffordcalls.js";
import type { Retries } from "./retries.js";
import { RetriesByService } from "./retriesbyservice.js";

const RUNS = Number(process.env["WINGLOCK_MODEL_RUNS"] ?? 80);
const SEED = 20261202;
const STEP_MS = 100;
const WINDOW_MS = 10_000;
const STEPS = 600;
const BOUND = { ratio: 0.2, slack: 58, windowMs: WINDOW_MS };
const MAX_ATTEMPTS = 3;
const OUTER = "outer" as ServiceName;
const INNER = "inner" as ServiceName;
/** The time that a restart of a daemon takes. */
const RESTART_STEPS = 5;

/** Faults that the model can inject into the policy, to prove that the search detects them. */
type InjectedFault =
    | "none"
    | "free-retry"
    | "start-with-reserve"
    | "undivided-slack"
    | "calls-uncounted"
    | "calls-unasked";

/**
 * A period of constant load: requests a step, shares of failed and hedged attempts, and probability of a restart a
 * step.
 */
const phaseArbitrary = fc.record({
    steps: fc.integer({ min: 5, max: 200 }),
    requestsPerStep: fc.integer({ min: 0, max: 30 }),
    failedShare: fc.constantFrom(0, 0.05, 0.5, 1),
    hedgedShare: fc.constantFrom(0, 0.02, 1),
    restartsPerStep: fc.constantFrom(0, 0, 0.05, 0.5),
});

const scenarioArbitrary = fc.record({
    seed: fc.integer(),
    daemonCount: fc.integer({ min: 1, max: 16 }),
    callsPerRun: fc.constantFrom(0, 1, 1.4, 2),
    phases: fc.array(phaseArbitrary, { minLength: 2, maxLength: 12 }),
});

type Phase = typeof phaseArbitrary extends fc.Arbitrary<infer T> ? T : never;
type Scenario = typeof scenarioArbitrary extends fc.Arbitrary<infer T> ? T : never;

/** Returns a seeded generator (mulberry32), so that a scenario is reproducible. */
const randomFrom = (seed: number): () => number => {
    let state = seed;
    return () => {
        state = (state + 0x6d2b79f5) | 0;
        let mixed = Math.imul(state ^ (state >>> 15), 1 | state);
        mixed = (mixed + Math.imul(mixed ^ (mixed >>> 7), 61 | mixed)) ^ mixed;
        return ((mixed ^ (mixed >>> 14)) >>> 0) / 2 ** 32;
    };
};

/** Counts the requests and repeats that one service receives in each step. */
class Traffic {
    readonly requests = new Float64Array(STEPS);
    readonly repeats = new Float64Array(STEPS);

    /** Returns by how many repeats the bound is exceeded in the worst window; negative if it is kept in all. */
    maxExcess(): number {
        const width = WINDOW_MS / STEP_MS;
        const sum = (counts: Float64Array, from: number): number =>
            counts.subarray(Math.max(0, from), Math.max(0, from + width)).reduce((total, count) => total + count, 0);
        let worst = -Infinity;
        for (let from = 0; from + width <= STEPS; from++) {
            const requests = Math.max(...[0, width, width / 2].map(back => sum(this.requests, from - back)));
            worst = Math.max(worst, sum(this.repeats, from) - BOUND.ratio * requests - BOUND.slack);
        }
        return worst;
    }
}

class Model {
    readonly outer = new Traffic();
    readonly inner = new Traffic();
    readonly #daemons: RetriesByService[];
    readonly #upAtStep: number[];
    readonly #random: () => number;
    #step = 0;

    constructor(private readonly scenario: Scenario, private readonly fault: InjectedFault) {
        this.#random = randomFrom(scenario.seed);
        this.#daemons = Array.from({ length: scenario.daemonCount }, () => this.#start(0));
        this.#upAtStep = this.#daemons.map(() => 0);
    }

    run(): void {
        const { phases } = this.scenario;
        let index = 0;
        let stepsLeft = phases[0]!.steps;
        for (this.#step = 0; this.#step < STEPS; this.#step++) {
            if (stepsLeft === 0) {
                index = (index + 1) % phases.length;
                stepsLeft = phases[index]!.steps;
            }
            stepsLeft -= 1;
            this.#simulateStep(phases[index]!);
        }
    }

    get #now(): number {
        return this.#step * STEP_MS;
    }

    #start(startedAt: number): RetriesByService {
        const since = this.fault === "start-with-reserve" ? -Infinity : startedAt;
        const retries = new RetriesByService({ bound: BOUND, burst: 1000, startedAt: since });
        if (this.fault !== "undivided-slack") {
            retries.recordDaemonCount(this.scenario.daemonCount);
        }
        return retries;
    }

    #simulateStep(phase: Phase): void {
        if (this.#random() < phase.restartsPerStep) {
            const restarted = Math.floor(this.#random() * this.#daemons.length);
            this.#upAtStep[restarted] = this.#step + RESTART_STEPS;
            this.#daemons[restarted] = this.#start((this.#step + RESTART_STEPS) * STEP_MS);
        }
        for (let request = 0; request < phase.requestsPerStep; request++) {
            this.#send(this.outer, this.#randomDaemon(), false, phase);
        }
    }

    #retries(daemon: number, name: ServiceName): Retries {
        return this.#daemons[daemon]!.get({ name, retryRatio: 1 }, this.#now);
    }

    #randomDaemon(): number {
        return Math.floor(this.#random() * this.#daemons.length);
    }

    /** Sends one request through a daemon, if that daemon is running. */
    #send(traffic: Traffic, daemon: number, isFromRepeat: boolean, phase: Phase): void {
        if (this.#step < this.#upAtStep[daemon]!) {
            return;
        }
        const service = traffic === this.outer ? OUTER : INNER;
        const retries = (): Retries => this.#retries(daemon, service);
        if (isFromRepeat && this.fault !== "calls-uncounted") {
            retries().budget.recordRepeat(this.#now);
        }
        else {
            retries().budget.recordRequest(this.#now);
            traffic.requests[this.#step]! += 1;
        }
        this.#startRun(traffic, isFromRepeat, phase);
        for (let attempt = 1; attempt < MAX_ATTEMPTS; attempt++) {
            const { budget, allowance } = retries();
            const hedged = this.#random() < phase.hedgedShare && budget.spendSurplus(allowance, this.#now);
            const failed = this.#random() < phase.failedShare;
            const mayRetry = (): boolean => this.fault === "free-retry" || budget.spend(allowance, this.#now);
            if (!hedged && !(failed && mayRetry())) {
                return;
            }
            this.#startRun(traffic, true, phase);
        }
    }

    /** Starts a run beside a random daemon, which may refuse a repeat and through which the run makes its calls. */
    #startRun(traffic: Traffic, isRepeat: boolean, phase: Phase): void {
        const daemon = this.#randomDaemon();
        const { callsPerRun } = this.scenario;
        if (
            traffic === this.outer && isRepeat && this.fault !== "calls-unasked"
            && !this.#canAffordRun(daemon, callsPerRun)
        ) {
            return;
        }
        if (isRepeat) {
            traffic.repeats[this.#step]! += 1;
        }
        const callCount = traffic === this.outer
            ? Math.floor(callsPerRun) + Number(this.#random() < callsPerRun % 1)
            : 0;
        for (let call = 0; call < callCount; call++) {
            this.#send(this.inner, daemon, isRepeat, phase);
        }
    }

    #canAffordRun(daemon: number, callsPerRun: number): boolean {
        const callCounts = new Map(callsPerRun === 0 ? [] : [[INNER, callsPerRun]]);
        return canAffordCalls(callCounts, 0, service => {
            const { budget, allowance } = this.#retries(daemon, service);
            return budget.remaining(allowance, this.#now);
        });
    }
}

/** Searches for a scenario in which a service gets more repeats than its bound. */
const findViolation = (fault: InjectedFault): fc.RunDetails<[Scenario]> =>
    fc.check(
        fc.property(scenarioArbitrary, scenario => {
            const model = new Model(scenario, fault);
            model.run();
            const excess = { outer: Math.max(0, model.outer.maxExcess()), inner: Math.max(0, model.inner.maxExcess()) };
            assert.deepEqual(excess, { outer: 0, inner: 0 });
        }),
        { numRuns: RUNS, seed: SEED, endOnFailure: true },
    );

test("repeats: daemons without shared state keep the bound under restarts, hedges, calls and any load", () => {
    const { failed, counterexample, errorInstance } = findViolation("none");
    assert.equal(failed, false, `${String(errorInstance)} in ${JSON.stringify(counterexample)}`);
});

test("repeats: the search detects each injected fault", () => {
    const faults: InjectedFault[] = [
        "free-retry",
        "start-with-reserve",
        "undivided-slack",
        "calls-uncounted",
        "calls-unasked",
    ];
    assert.deepEqual(faults.filter(fault => !findViolation(fault).failed), []);
});
