import assert from "node:assert/strict";
import { test } from "node:test";
import { seededRandom } from "../../../standin/seededrandom.js";
import type { UpstreamName } from "../../ids/upstreamname.js";
import type { Candidate } from "./candidate.js";
import { ExpectedTime } from "./expectedtime.js";

const candidate = (name: string, overrides: Partial<Candidate> = {}): Candidate => ({
    upstream: name as UpstreamName,
    slots: 10,
    sameHall: true,
    sameRegion: true,
    roundTripMs: 1,
    outstanding: 0,
    report: { running: 2, waiting: 0, limit: 10, serviceMs: 10, baseMs: 10 },
    reportedAt: 0,
    outstandingAtReport: 0,
    penaltyMs: 0,
    lastFailureAt: 0,
    ...overrides,
});

const choose = (candidates: Candidate[], now: number): string =>
    new ExpectedTime().choose(candidates, now, () => 0)!.upstream;

test("placement: own outstanding requests outweigh a stale report", () => {
    assert.equal(choose([candidate("a", { outstanding: 4 }), candidate("b")], 50), "b");
});

test("placement: an upstream in the same hall is preferred only while it is faster", () => {
    const near = candidate("near", { roundTripMs: 0.5 });
    const far = candidate("far", { roundTripMs: 4 });
    assert.equal(choose([far, near], 50), "near");
    assert.equal(choose([far, { ...near, outstanding: 5 }], 50), "far");
});

test("placement: an upstream that fails fast is avoided until its penalty decays", () => {
    const failing = candidate("a", { penaltyMs: 50, lastFailureAt: 0, roundTripMs: 0 });
    assert.equal(choose([failing, candidate("b")], 10), "b");
    assert.equal(choose([failing, candidate("b")], 10_000), "a");
});

test("placement: a reported slow service time counts until the report is stale", () => {
    const slow = { running: 2, waiting: 0, limit: 10, serviceMs: 100, baseMs: 10 };
    const candidates = [candidate("a", { report: slow, roundTripMs: 0 }), candidate("b")];
    assert.equal(choose(candidates, 100), "b");
    assert.equal(choose(candidates, 5000), "a");
});

// An ingress that has reports of two upstreams only, both in its own hall, must not treat the other 93 as faster. There
// are 19 upstreams in each of five halls.
test("placement: in a large service, upstreams without a report attract no requests from other halls", () => {
    const report = { running: 1, waiting: 0, limit: 6, serviceMs: 400, baseMs: 400 };
    const unknown = Array.from(
        { length: 95 },
        (_, index) => candidate(`u${index}`, { report: undefined, sameHall: index % 5 === 0 }),
    );
    const known = unknown.map((item, index) => index === 0 || index === 5 ? { ...item, report } : item);
    const placement = new ExpectedTime({ leaveHallCost: 1.5, ownWeight: 3, loadFadeMs: 50 });
    const random = seededRandom(1);
    const chosen = Array.from({ length: 200 }, () => placement.choose(known, 10_000, random)!);
    assert.deepEqual(chosen.filter(item => !item.sameHall), []);
    assert.ok(chosen.some(item => item.report === undefined), "upstreams without a report get requests too");
    const busy = known.map(item => item.sameHall ? { ...item, outstanding: 12 } : item);
    const whenBusy = Array.from({ length: 50 }, () => placement.choose(busy, 10_000, random)!);
    assert.ok(whenBusy.filter(item => !item.sameHall).length > 40, "requests leave a busy hall");
});
