import assert from "node:assert/strict";
import { test } from "node:test";
import { HopError } from "../hop/hoperror.js";
import { Cancellation } from "../http/cancellation.js";
import { RegionRoundTrips } from "../policy/placement/regionroundtrips.js";
import type { Reason } from "../policy/retry/reason.js";
import { Attempt } from "./attempt.js";
import { RequestLog } from "./requestlog.js";
import { UpstreamStatements } from "./upstreamstatements.js";
import { UpstreamView } from "./upstreamview.js";

/** Makes one attempt at a gate that refuses for the reason, at time 0; returns the upstream's view. */
const refusedFor = async (reason: Reason): Promise<UpstreamView> => {
    const hop = { send: () => Promise.reject(new HopError("not-run", reason)) };
    const settings = { name: "u", service: "s", gate: "127.0.0.1:1", slots: 4, draining: false };
    const target = new UpstreamView(settings as never, {
        hop: hop as never,
        sameHall: true,
        sameRegion: true,
        regionRoundTrips: new RegionRoundTrips(),
        local: false,
        isEvacuated: () => false,
        statements: new UpstreamStatements(),
        onSent: () => {},
    });
    const attempt = new Attempt(target, { offer: undefined, arrival: "first" }, {
        ingress: { clock: () => 0, newRequestId: () => "id", revision: () => 1, peerAddress: "127.0.0.1:2" },
        plan: { kind: "repeatable", rule: {}, service: { name: "s", maxWaitMs: 10 }, deadline: 1000, depth: 0 },
        choices: 1,
        nearChoices: 1,
        outgoing: { id: "id", method: "GET", path: "/", headers: {}, body: { content: undefined, kept: true } },
        log: new RequestLog("id"),
        requestCancel: new Cancellation(),
        isDeadlinePassed: () => false,
        presence: { settle: () => undefined },
        claim: () => true,
        deliver: () => Promise.resolve(),
    } as never);
    const { outcome } = await attempt.run();
    assert.equal(outcome, "not-run");
    return target;
};

test("attempt: an upstream unknown to its gate is avoided only briefly", async () => {
    const target = await refusedFor("no-such-upstream");
    assert.equal(target.availability(50), "leaving");
    assert.equal(target.availability(200), "available");
});

test("attempt: a busy gate is not avoided", async () => {
    assert.equal((await refusedFor("busy")).availability(0), "available");
});
