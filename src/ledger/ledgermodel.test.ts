/**
 * Looks for a schedule that runs a `once` request twice, or says "not run" of one that ran.
 *
 * The gate's clock may stand still while the ingress's goes on, as on a host that is suspended; then the ingress reckons a time that the gate
 * has not come to. By reading alone it had seemed that a deadline in the gate's time bears that; the search has shown that it did not.
 */
import fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import { GateClock } from "../hop/gateclock.js";
import type { Incarnation } from "../ids/incarnation.js";
import type { RequestId } from "../ids/requestid.js";
import { Ledger } from "./ledger.js";
import { ledgerDeadline } from "./ledgerdeadline.js";

const RUNS = Number(process.env["WINGLOCK_MODEL_RUNS"] ?? 100_000);
const SEED = 20261202;
const IDS = 3;
/** A request's time limit, and how long the world rests at most: long enough that the ledger forgets. Milliseconds. */
const LIMIT = 600;
const MAX_PAUSE = 1200;

/** One step of the world. A message may be delivered late, twice or never; a try may be sent again after its word. */
type Step =
    | { readonly type: "send"; readonly id: number; }
    | { readonly type: "deliver"; readonly at: number; readonly keep: boolean; }
    | { readonly type: "start"; readonly at: number; }
    | { readonly type: "revoke"; readonly id: number; }
    | { readonly type: "lose-word"; readonly id: number; }
    | { readonly type: "pause"; readonly ms: number; }
    | { readonly type: "suspend"; readonly ms: number; }
    | { readonly type: "read-clock"; }
    | { readonly type: "restart"; };

/** A fault planted in a copy of the rule, to see that the search finds it. */
type Planted =
    | "none"
    | "forget-tombstone"
    | "ignore-incarnation"
    | "retry-on-unknown"
    | "start-after-deadline"
    | "deadline-by-arrival";

type Message = { readonly id: number; readonly attempt: number; readonly life: number; readonly gateTime: number; };

const step = fc.oneof<fc.Arbitrary<Step>[]>(
    fc.record({ type: fc.constant("send" as const), id: fc.nat(IDS - 1) }),
    fc.record({ type: fc.constant("deliver" as const), at: fc.nat(5), keep: fc.boolean() }),
    fc.record({ type: fc.constant("start" as const), at: fc.nat(5) }),
    fc.record({ type: fc.constant("revoke" as const), id: fc.nat(IDS - 1) }),
    fc.record({ type: fc.constant("lose-word" as const), id: fc.nat(IDS - 1) }),
    fc.record({ type: fc.constant("pause" as const), ms: fc.nat(MAX_PAUSE) }),
    fc.record({ type: fc.constant("suspend" as const), ms: fc.nat(MAX_PAUSE * 4) }),
    fc.record({ type: fc.constant("read-clock" as const) }),
    fc.record({ type: fc.constant("restart" as const) }),
);

/** A gate with its ledger, a wire that holds messages, and an ingress that retries by the rule. */
class World {
    /** By the gate's clock. */
    now = 0;
    /** By the ingress's. */
    ingressNow = 0;
    readonly clock = new GateClock();
    life = 0;
    ledger = new Ledger(8);
    readonly wire: Message[] = [];
    queue: Message[] = [];
    readonly runs = new Map<number, number>();
    readonly attempts = new Map<number, { message: Message; word: "none" | "not-run" | "unknown"; }>();

    constructor(private readonly planted: Planted) {
        this.#readClock();
    }

    act(step: Step): void {
        switch (step.type) {
            case "send":
                return this.#send(step.id);
            case "deliver":
                return this.#deliver(step.at, step.keep);
            case "start":
                return this.#start(step.at);
            case "revoke":
                return this.#revoke(step.id);
            case "lose-word":
                return this.#tell(step.id, "unknown");
            case "pause":
                this.now += step.ms;
                this.ingressNow += step.ms;
                return;
            case "suspend":
                this.ingressNow += step.ms;
                return;
            case "read-clock":
                return this.#readClock();
            case "restart":
                this.life += 1;
                this.ledger = new Ledger(8);
                this.queue = [];
        }
    }

    #readClock(): void {
        const span = { askedAt: this.ingressNow, now: this.ingressNow };
        this.clock.observe(`life-${this.life}` as Incarnation, this.now, span);
    }

    #deadline({ gateTime }: Message): number {
        const sent = { gateTime, remainingMs: LIMIT };
        return this.planted === "deadline-by-arrival"
            ? Math.min(this.now, gateTime) + LIMIT
            : ledgerDeadline(sent);
    }

    #name(message: Message): RequestId {
        return `${message.id}.${message.attempt}` as RequestId;
    }

    #tell(id: number, word: "not-run" | "unknown"): void {
        const attempt = this.attempts.get(id);
        if (attempt?.word === "none") {
            attempt.word = word;
        }
    }

    /** The ingress's rule: a new try only when the last one is proven not run. */
    #send(id: number): void {
        const last = this.attempts.get(id);
        const mayRetry = last?.word === "not-run" || (this.planted === "retry-on-unknown" && last?.word === "unknown");
        if (last !== undefined && !mayRetry) {
            return;
        }
        const attempt = (last?.message.attempt ?? 0) + 1;
        const message = { id, attempt, life: this.life, gateTime: this.clock.reckon(this.ingressNow)! };
        this.attempts.set(id, { message, word: "none" });
        this.wire.push(message);
    }

    #deliver(at: number, keep: boolean): void {
        const message = this.wire[at % Math.max(1, this.wire.length)];
        if (message === undefined) {
            return;
        }
        if (!keep) {
            this.wire.splice(this.wire.indexOf(message), 1);
        }
        const otherLife = message.life !== this.life && this.planted !== "ignore-incarnation";
        if (!otherLife && this.ledger.admit(this.#name(message), this.#deadline(message), this.now) === "admitted") {
            this.queue.push(message);
        }
    }

    #start(at: number): void {
        const message = this.queue[at % Math.max(1, this.queue.length)];
        if (message === undefined) {
            return;
        }
        this.queue.splice(this.queue.indexOf(message), 1);
        const deadline = message.gateTime + LIMIT;
        const startAt = this.planted === "start-after-deadline" ? Math.min(this.now, deadline - 1) : this.now;
        if (this.ledger.start(this.#name(message), startAt)) {
            this.runs.set(message.id, (this.runs.get(message.id) ?? 0) + 1);
            assert.ok(this.now < deadline, "nothing starts after its deadline");
        }
    }

    #revoke(id: number): void {
        const attempt = this.attempts.get(id);
        if (attempt?.word !== "none") {
            return;
        }
        const { message } = attempt;
        const sameLife = message.life === this.life || this.planted === "ignore-incarnation";
        const result = sameLife
            ? this.ledger.revoke(this.#name(message), this.#deadline(message), this.now)
            : "unknown";
        this.#tell(id, result === "revoked" ? "not-run" : "unknown");
        if (this.planted === "forget-tombstone") {
            this.ledger = new Ledger(8);
        }
    }

    check(): void {
        for (const [id, { message, word }] of this.attempts) {
            const runs = this.runs.get(id) ?? 0;
            assert.ok(runs <= 1, `request ${id} ran ${runs} times`);
            assert.ok(word !== "not-run" || runs === 0, `request ${id}, try ${message.attempt}, was told not run`);
        }
    }
}

/** Found by the search: the request comes twice, and is revoked between. */
const GATE_STOOD_STILL: readonly Step[] = [
    { type: "pause", ms: 162 },
    { type: "suspend", ms: 239 },
    { type: "send", id: 2 },
    { type: "deliver", at: 0, keep: true },
    { type: "pause", ms: 259 },
    { type: "revoke", id: 2 },
    { type: "pause", ms: 247 },
    { type: "pause", ms: 332 },
    { type: "deliver", at: 0, keep: false },
    { type: "start", at: 0 },
];

const search = (planted: Planted): fc.RunDetails<[Step[]]> =>
    fc.check(
        fc.property(fc.array(step, { minLength: 4, maxLength: 24 }), steps => {
            const world = new World(planted);
            for (const next of steps) {
                world.act(next);
                world.check();
            }
        }),
        { seed: SEED, numRuns: RUNS },
    );

test("model: a request that was sent by a clock ahead of its gate's does not run after its revocation", () => {
    const world = new World("none");
    GATE_STOOD_STILL.forEach(next => {
        world.act(next);
        world.check();
    });
});

test("model: no schedule runs a request twice or says falsely that it did not run", () => {
    const found = search("none");
    assert.equal(found.failed, false, JSON.stringify(found.counterexample));
});

const faults = [
    "forget-tombstone",
    "ignore-incarnation",
    "retry-on-unknown",
    "start-after-deadline",
    "deadline-by-arrival",
] as const;

for (const planted of faults) {
    test(`model: finds the planted fault ${planted}`, () => {
        assert.equal(search(planted).failed, true);
    });
}
