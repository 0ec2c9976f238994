/** Looks for a schedule that runs a `once` request twice, or says "not run" of one that ran. */
import fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import type { RequestId } from "../ids/requestid.js";
import { Ledger } from "./ledger.js";

const RUNS = Number(process.env["WINGLOCK_MODEL_RUNS"] ?? 3000);
const SEED = 20261202;
const IDS = 3;
const LIMIT = 20;

/** One step of the world. A message may be delivered late, twice or never; a try may be sent again after its word. */
type Step =
    | { readonly type: "send"; readonly id: number; }
    | { readonly type: "deliver"; readonly at: number; readonly keep: boolean; }
    | { readonly type: "start"; readonly at: number; }
    | { readonly type: "revoke"; readonly id: number; }
    | { readonly type: "lose-word"; readonly id: number; }
    | { readonly type: "pause"; readonly ms: number; }
    | { readonly type: "restart"; };

/** A fault planted in a copy of the rule, to see that the search finds it. */
type Planted = "none" | "forget-tombstone" | "ignore-incarnation" | "retry-on-unknown" | "start-after-deadline";

type Message = { readonly id: number; readonly attempt: number; readonly life: number; readonly deadline: number; };

const step = fc.oneof<fc.Arbitrary<Step>[]>(
    fc.record({ type: fc.constant("send" as const), id: fc.nat(IDS - 1) }),
    fc.record({ type: fc.constant("deliver" as const), at: fc.nat(5), keep: fc.boolean() }),
    fc.record({ type: fc.constant("start" as const), at: fc.nat(5) }),
    fc.record({ type: fc.constant("revoke" as const), id: fc.nat(IDS - 1) }),
    fc.record({ type: fc.constant("lose-word" as const), id: fc.nat(IDS - 1) }),
    fc.record({ type: fc.constant("pause" as const), ms: fc.nat(LIMIT) }),
    fc.record({ type: fc.constant("restart" as const) }),
);

/** A gate with its ledger, a wire that holds messages, and an ingress that retries by the rule. */
class World {
    now = 0;
    life = 0;
    ledger = new Ledger(8);
    readonly wire: Message[] = [];
    queue: Message[] = [];
    readonly runs = new Map<number, number>();
    readonly attempts = new Map<number, { message: Message; word: "none" | "not-run" | "unknown"; }>();

    constructor(private readonly planted: Planted) {}

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
                return;
            case "restart":
                this.life += 1;
                this.ledger = new Ledger(8);
                this.queue = [];
        }
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
        const message = { id, attempt, life: this.life, deadline: this.now + LIMIT };
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
        if (!otherLife && this.ledger.admit(this.#name(message), message.deadline, this.now) === "admitted") {
            this.queue.push(message);
        }
    }

    #start(at: number): void {
        const message = this.queue[at % Math.max(1, this.queue.length)];
        if (message === undefined) {
            return;
        }
        this.queue.splice(this.queue.indexOf(message), 1);
        const startAt = this.planted === "start-after-deadline" ? Math.min(this.now, message.deadline - 1) : this.now;
        if (this.ledger.start(this.#name(message), startAt)) {
            this.runs.set(message.id, (this.runs.get(message.id) ?? 0) + 1);
            assert.ok(this.now < message.deadline, "nothing starts after its deadline");
        }
    }

    #revoke(id: number): void {
        const attempt = this.attempts.get(id);
        if (attempt?.word !== "none") {
            return;
        }
        const { message } = attempt;
        const sameLife = message.life === this.life || this.planted === "ignore-incarnation";
        const result = sameLife ? this.ledger.revoke(this.#name(message), message.deadline, this.now) : "unknown";
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

test("model: no schedule runs a request twice or says falsely that it did not run", () => {
    const found = search("none");
    assert.equal(found.failed, false, JSON.stringify(found.counterexample));
});

for (const planted of ["forget-tombstone", "ignore-incarnation", "retry-on-unknown", "start-after-deadline"] as const) {
    test(`model: finds the planted fault ${planted}`, () => {
        assert.equal(search(planted).failed, true);
    });
}
