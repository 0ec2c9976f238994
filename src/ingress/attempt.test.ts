import assert from "node:assert/strict";
import { test } from "node:test";
import { HopError } from "../hop/hoperror.js";
import { Cancel } from "../http/cancel.js";
import { Attempt } from "./attempt.js";
import { Neighbour } from "./neighbour.js";

/** One try at a gate that refuses for the reason, at the time 0; returns what is known of the gate then. */
const refusedFor = async (reason: string): Promise<Neighbour> => {
    const hop = { send: () => Promise.reject(new HopError("not-run", reason)) };
    const settings = { name: "u", service: "s", gate: "127.0.0.1:1", slots: 4, draining: false };
    const neighbour = new Neighbour(settings as never, hop as never, true, false);
    const attempt = new Attempt(neighbour, undefined, {
        ingress: { clock: () => 0, newId: () => "id", revision: () => 1, from: "127.0.0.1:2" },
        plan: { kind: "repeatable", rule: {}, service: { name: "s", maxWaitMs: 10 }, deadline: 1000, depth: 0 },
        choices: 1,
        nearChoices: 1,
        out: { id: "id", method: "GET", path: "/", headers: {}, body: { content: undefined, kept: true } },
        left: new Cancel(),
        deadlinePassed: () => false,
        claim: () => true,
        deliver: () => Promise.resolve(),
    } as never);
    const { outcome } = await attempt.run();
    assert.equal(outcome, "not-run");
    return neighbour;
};

test("attempt: a gate that does not know the upstream is left alone for a moment, not for long", async () => {
    const neighbour = await refusedFor("no-such-upstream");
    assert.equal(neighbour.unfit(50), "leaving");
    assert.equal(neighbour.unfit(200), undefined);
});

test("attempt: a busy gate is not left alone", async () => {
    assert.equal((await refusedFor("busy")).unfit(0), undefined);
});
