/**
 * Searches for a schedule that runs a `once` request twice, or that reports a request as not run although it ran.
 *
 * The gate's clock may stop while the ingress's goes on, as on a suspended host: the ingress then estimates a time that
 * the gate has not reached. The search has shown that a deadline limited by the arrival fails in that case.
 */
import fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import { GateClock } from "../hop/gateclock.js";
import type { Incarnation } from "../ids/incarnation.js";
import type { RequestId } from "../ids/requestid.js";
import { Ledger } from "./ledger.js";
import { ledgerDeadline } from "./ledgerdeadline.js";

const SEARCH_RUNS = Number(process.env["WINGLOCK_MODEL_RUNS"] ?? 100_000);
const SEED = 20261202;
const REQUEST_COUNT = 3;
/** A request's time limit, and the longest pause: long enough for the ledger to evict entries. */
const TIME_LIMIT_MS = 600;
const MAX_PAUSE_MS = 1200;

/** One step. Messages may be late, duplicated or lost; after `lose-response` the outcome of an attempt is unknown. */
type Step =
    | { readonly type: "send"; readonly id: number; }
    | { readonly type: "deliver"; readonly index: number; readonly keep: boolean; }
    | { readonly type: "start"; readonly index: number; }
    | { readonly type: "revoke"; readonly id: number; }
    | { readonly type: "lose-response"; readonly id: number; }
    | { readonly type: "pause"; readonly ms: number; }
    | { readonly type: "suspend"; readonly ms: number; }
    | { readonly type: "read-clock"; }
    | { readonly type: "restart"; };

/** A fault that is injected into the protocol, to show that the search finds it. */
type Fault =
    | "none"
    | "forget-tombstone"
    | "ignore-incarnation"
    | "retry-on-unknown"
    | "start-after-deadline"
    | "deadline-by-arrival";

/** `restarts`: how often the gate had restarted; `gateTime`: the ingress's estimate of the gate's clock. */
type Message = { readonly id: number; readonly attempt: number; readonly restarts: number; readonly gateTime: number; };

const anyStep = fc.oneof<fc.Arbitrary<Step>[]>(
    fc.record({ type: fc.constant("send" as const), id: fc.nat(REQUEST_COUNT - 1) }),
    fc.record({ type: fc.constant("deliver" as const), index: fc.nat(5), keep: fc.boolean() }),
    fc.record({ type: fc.constant("start" as const), index: fc.nat(5) }),
    fc.record({ type: fc.constant("revoke" as const), id: fc.nat(REQUEST_COUNT - 1) }),
    fc.record({ type: fc.constant("lose-response" as const), id: fc.nat(REQUEST_COUNT - 1) }),
    fc.record({ type: fc.constant("pause" as const), ms: fc.nat(MAX_PAUSE_MS) }),
    fc.record({ type: fc.constant("suspend" as const), ms: fc.nat(MAX_PAUSE_MS * 4) }),
    fc.record({ type: fc.constant("read-clock" as const) }),
    fc.record({ type: fc.constant("restart" as const) }),
);

/** Simulates a gate and an ingress, each with a clock in milliseconds, and messages in transit between them. */
class Simulation {
    gateNow = 0;
    ingressNow = 0;
    readonly gateClock = new GateClock();
    restarts = 0;
    ledger = new Ledger(8);
    readonly inTransit: Message[] = [];
    queued: Message[] = [];
    readonly runCounts = new Map<number, number>();
    readonly attempts = new Map<number, { message: Message; outcome: "none" | "not-run" | "unknown"; }>();

    constructor(private readonly fault: Fault) {
        this.#readClock();
    }

    apply(step: Step): void {
        switch (step.type) {
            case "send":
                return this.#send(step.id);
            case "deliver":
                return this.#deliver(step.index, step.keep);
            case "start":
                return this.#start(step.index);
            case "revoke":
                return this.#revoke(step.id);
            case "lose-response":
                return this.#recordOutcome(step.id, "unknown");
            case "pause":
                this.gateNow += step.ms;
                this.ingressNow += step.ms;
                return;
            case "suspend":
                this.ingressNow += step.ms;
                return;
            case "read-clock":
                return this.#readClock();
            case "restart":
                this.restarts += 1;
                this.ledger = new Ledger(8);
                this.queued = [];
        }
    }

    #readClock(): void {
        const span = { askedAt: this.ingressNow, now: this.ingressNow };
        this.gateClock.observe(`incarnation-${this.restarts}` as Incarnation, this.gateNow, span);
    }

    #deadline({ gateTime }: Message): number {
        const sent = { gateTime, remainingMs: TIME_LIMIT_MS };
        return this.fault === "deadline-by-arrival"
            ? Math.min(this.gateNow, gateTime) + TIME_LIMIT_MS
            : ledgerDeadline(sent);
    }

    #requestId(message: Message): RequestId {
        return `${message.id}.${message.attempt}` as RequestId;
    }

    #recordOutcome(id: number, outcome: "not-run" | "unknown"): void {
        const attempt = this.attempts.get(id);
        if (attempt?.outcome === "none") {
            attempt.outcome = outcome;
        }
    }

    /** Sends an attempt, as an ingress does: a further one only if the last one is proven not to have run. */
    #send(id: number): void {
        const last = this.attempts.get(id);
        const mayRetry = last?.outcome === "not-run"
            || (this.fault === "retry-on-unknown" && last?.outcome === "unknown");
        if (last !== undefined && !mayRetry) {
            return;
        }
        const attempt = (last?.message.attempt ?? 0) + 1;
        const message = { id, attempt, restarts: this.restarts, gateTime: this.gateClock.estimate(this.ingressNow)! };
        this.attempts.set(id, { message, outcome: "none" });
        this.inTransit.push(message);
    }

    #deliver(index: number, keep: boolean): void {
        const message = this.inTransit[index % Math.max(1, this.inTransit.length)];
        if (message === undefined) {
            return;
        }
        if (!keep) {
            this.inTransit.splice(this.inTransit.indexOf(message), 1);
        }
        const isStale = message.restarts !== this.restarts && this.fault !== "ignore-incarnation";
        if (
            !isStale
            && this.ledger.admit(this.#requestId(message), this.#deadline(message), this.gateNow) === "admitted"
        ) {
            this.queued.push(message);
        }
    }

    #start(index: number): void {
        const message = this.queued[index % Math.max(1, this.queued.length)];
        if (message === undefined) {
            return;
        }
        this.queued.splice(this.queued.indexOf(message), 1);
        const deadline = message.gateTime + TIME_LIMIT_MS;
        const startAt = this.fault === "start-after-deadline" ? Math.min(this.gateNow, deadline - 1) : this.gateNow;
        if (this.ledger.start(this.#requestId(message), startAt)) {
            this.runCounts.set(message.id, (this.runCounts.get(message.id) ?? 0) + 1);
            assert.ok(this.gateNow < deadline, "nothing starts after its deadline");
        }
    }

    #revoke(id: number): void {
        const attempt = this.attempts.get(id);
        if (attempt?.outcome !== "none") {
            return;
        }
        const { message } = attempt;
        const isSameIncarnation = message.restarts === this.restarts || this.fault === "ignore-incarnation";
        const result = isSameIncarnation
            ? this.ledger.revoke(this.#requestId(message), this.#deadline(message), this.gateNow)
            : "unknown";
        this.#recordOutcome(id, result === "revoked" ? "not-run" : "unknown");
        if (this.fault === "forget-tombstone") {
            this.ledger = new Ledger(8);
        }
    }

    assertInvariants(): void {
        for (const [id, { message, outcome }] of this.attempts) {
            const runs = this.runCounts.get(id) ?? 0;
            assert.ok(runs <= 1, `request ${id} ran ${runs} times`);
            assert.ok(
                outcome !== "not-run" || runs === 0,
                `request ${id}, attempt ${message.attempt}, ran but was reported as not run`,
            );
        }
    }
}

/** A failing schedule that the search has found: the request arrives twice, and is revoked in between. */
const SUSPENDED_GATE_STEPS: readonly Step[] = [
    { type: "pause", ms: 162 },
    { type: "suspend", ms: 239 },
    { type: "send", id: 2 },
    { type: "deliver", index: 0, keep: true },
    { type: "pause", ms: 259 },
    { type: "revoke", id: 2 },
    { type: "pause", ms: 247 },
    { type: "pause", ms: 332 },
    { type: "deliver", index: 0, keep: false },
    { type: "start", index: 0 },
];

const search = (fault: Fault): fc.RunDetails<[Step[]]> =>
    fc.check(
        fc.property(fc.array(anyStep, { minLength: 4, maxLength: 24 }), steps => {
            const simulation = new Simulation(fault);
            for (const next of steps) {
                simulation.apply(next);
                simulation.assertInvariants();
            }
        }),
        { seed: SEED, numRuns: SEARCH_RUNS },
    );

test("ledger model: a request sent with a clock reading ahead of the gate's clock does not run after its revocation", () => {
    const simulation = new Simulation("none");
    SUSPENDED_GATE_STEPS.forEach(next => {
        simulation.apply(next);
        simulation.assertInvariants();
    });
});

test("ledger model: no schedule runs a request twice or reports a request that ran as not run", () => {
    const result = search("none");
    assert.equal(result.failed, false, JSON.stringify(result.counterexample));
});

const FAULTS = [
    "forget-tombstone",
    "ignore-incarnation",
    "retry-on-unknown",
    "start-after-deadline",
    "deadline-by-arrival",
] as const;

for (const fault of FAULTS) {
    test(`ledger model: the search finds the injected fault ${fault}`, () => {
        assert.equal(search(fault).failed, true);
    });
}
