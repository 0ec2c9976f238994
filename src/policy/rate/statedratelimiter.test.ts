import fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import type { StatedLimit } from "./statedlimit.js";
import { StatedRateLimiter } from "./statedratelimiter.js";

const NONE: StatedLimit = { type: "none" };
/** Describes a response to a request that was sent at `sentAt`. */
const requestSentAt = (sentAt: number): { readonly sentAt: number; readonly isHealth: boolean; } => ({
    sentAt,
    isHealth: false,
});
const stated = (perSecond: number): StatedLimit => ({ type: "perSecond", perSecond });

test("stated limit: applies from the first response that states it until a later one does not", () => {
    const limit = new StatedRateLimiter();
    limit.recordResponse(NONE, requestSentAt(0), 10);
    assert.equal(limit.perSecond, undefined);
    limit.recordResponse(stated(7.8), requestSentAt(20), 40);
    assert.equal(limit.perSecond, 7.8);
    limit.recordResponse(stated(3), requestSentAt(50), 60);
    assert.equal(limit.perSecond, 3);
    limit.recordResponse(NONE, requestSentAt(70), 80);
    assert.equal(limit.perSecond, undefined);
});

test("stated limit: a response that was in flight when the limit was stated does not end it", () => {
    const limit = new StatedRateLimiter();
    limit.recordResponse(stated(7.8), requestSentAt(20), 40);
    limit.recordResponse(NONE, requestSentAt(30), 50);
    limit.recordResponse(NONE, requestSentAt(40), 51);
    assert.equal(limit.perSecond, 7.8);
});

test("stated limit: the lower one of two responses in flight at the same time applies", () => {
    const limit = new StatedRateLimiter();
    limit.recordResponse(stated(3), requestSentAt(10), 20);
    limit.recordResponse(stated(9), requestSentAt(15), 25);
    assert.equal(limit.perSecond, 3);
    limit.recordResponse(stated(9), requestSentAt(30), 40);
    assert.equal(limit.perSecond, 9);
});

test("stated limit: an unreadable value changes nothing", () => {
    const limit = new StatedRateLimiter();
    limit.recordResponse(stated(3), requestSentAt(10), 20);
    limit.recordResponse({ type: "unreadable", text: "abc" }, requestSentAt(30), 40);
    assert.equal(limit.perSecond, 3);
});

test("stated limit: a health response without it ends it only if health responses state it too", () => {
    const healthProbeSentAt = (sentAt: number): Parameters<StatedRateLimiter["recordResponse"]>[1] => ({
        sentAt,
        isHealth: true,
    });
    const limit = new StatedRateLimiter();
    limit.recordResponse(stated(3), requestSentAt(10), 20);
    limit.recordResponse(NONE, healthProbeSentAt(30), 40);
    assert.equal(limit.perSecond, 3);
    limit.recordResponse(stated(3), healthProbeSentAt(50), 60);
    limit.recordResponse(NONE, healthProbeSentAt(70), 80);
    assert.equal(limit.perSecond, undefined);
});

test("stated limit: a restarted gate applies the limit that senders know until the upstream itself responds", () => {
    const limit = new StatedRateLimiter();
    limit.recordPropagated(7.8, 0);
    assert.equal(limit.perSecond, 7.8);
    assert.ok(limit.sendableAt(1, 0) > 100, "no burst: requests sent before the start are not known");
    limit.recordResponse(NONE, requestSentAt(-5), 10);
    assert.equal(limit.perSecond, undefined);
    limit.recordPropagated(7.8, 20);
    assert.equal(limit.perSecond, undefined);
});

test("stated limit: health probes use no capacity that requests need", () => {
    const limit = new StatedRateLimiter();
    assert.equal(limit.mayProbeHealth(0), true);
    limit.recordResponse(stated(2), requestSentAt(0), 10);
    limit.recordSent(1000);
    assert.equal(limit.mayProbeHealth(2000), false);
    assert.equal(limit.mayProbeHealth(5000), true);
});

const WINDOW_MS = 4000;
const maxInWindow = (times: readonly number[]): number => {
    let first = 0;
    return times.reduce((max, sentAt, index) => {
        while (sentAt - times[first]! > WINDOW_MS) {
            first += 1;
        }
        return Math.max(max, index - first + 1);
    }, 0);
};

type Scenario = {
    readonly arrivalIntervalMs: number;
    readonly responseMs: readonly number[];
    readonly perSecond: number;
    readonly statedAt: number;
    readonly gateStarts: readonly number[];
};

/**
 * Returns when requests are sent to an upstream that states a limit from `statedAt` on, while senders know it and its
 * gate restarts.
 */
const simulateSends = ({ arrivalIntervalMs, responseMs, perSecond, statedAt, gateStarts }: Scenario): number[] => {
    const sent: number[] = [];
    let limit = new StatedRateLimiter();
    let isKnownToSenders = false;
    let inFlight: { readonly sentAt: number; readonly endsAt: number; }[] = [];
    for (let now = 0; now < 16_000; now += 1) {
        if (gateStarts.includes(now)) {
            limit = new StatedRateLimiter();
            inFlight = [];
        }
        inFlight.filter(({ endsAt }) => endsAt === now).forEach(({ sentAt }) => {
            isKnownToSenders ||= now >= statedAt;
            limit.recordResponse(now >= statedAt ? stated(perSecond) : NONE, requestSentAt(sentAt), now);
        });
        if (now % arrivalIntervalMs === 0) {
            if (isKnownToSenders) {
                limit.recordPropagated(perSecond, now);
            }
            if (limit.sendableAt(1, now) <= now) {
                limit.recordSent(now);
                sent.push(now);
                inFlight.push({ sentAt: now, endsAt: now + responseMs[sent.length % responseMs.length]! });
            }
        }
    }
    return sent;
};

// Guards against sending an upstream more than one and a half times its stated limit plus five requests in 4 s.
test("stated limit: no 4 s exceed the bound under any load, order of responses and gate restarts", () => {
    fc.assert(fc.property(
        fc.record({
            arrivalIntervalMs: fc.integer({ min: 1, max: 80 }),
            responseMs: fc.array(fc.integer({ min: 1, max: 300 }), { minLength: 1, maxLength: 5 }),
            perSecond: fc.double({ min: 0, max: 60, noNaN: true }),
            statedAt: fc.integer({ min: 0, max: 4000 }),
            gateStarts: fc.array(fc.integer({ min: 4500, max: 15_000 }), { maxLength: 4 }),
        }),
        scenario => {
            const counted = simulateSends(scenario).filter(sentAt => sentAt > scenario.statedAt + 500);
            const allowed = 1.5 * 4 * scenario.perSecond + 5;
            assert.ok(maxInWindow(counted) <= allowed, `${maxInWindow(counted)} of ${allowed}`);
        },
    ));
});

test("stated limit: a change of the limit keeps the rate, and restating it grants no burst", () => {
    const limit = new StatedRateLimiter();
    let sent = 0;
    for (let now = 0; now < 4000; now += 1) {
        if (now % 100 === 0) {
            limit.recordResponse(stated(now % 200 === 0 ? 4 : 8), requestSentAt(now), now);
        }
        if (limit.sendableAt(1, now) <= now) {
            limit.recordSent(now);
            sent += 1;
        }
    }
    assert.ok(sent >= 16 && sent <= 36, `${sent}`);
});
