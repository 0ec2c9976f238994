import fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import { RequestLimit } from "./requestlimit.js";
import type { StatedLimit } from "./statedlimit.js";

const NONE: StatedLimit = { type: "none" };
/** An answer to a request that was sent then. */
const request = (sentAt: number): { readonly sentAt: number; readonly isHealth: boolean; } => ({
    sentAt,
    isHealth: false,
});
const states = (perSecond: number): StatedLimit => ({ type: "perSecond", perSecond });

test("limit: it holds from the first answer that states it, until a later one does not", () => {
    const limit = new RequestLimit();
    limit.recordAnswer(NONE, request(0), 10);
    assert.equal(limit.perSecond, undefined);
    limit.recordAnswer(states(7.8), request(20), 40);
    assert.equal(limit.perSecond, 7.8);
    limit.recordAnswer(states(3), request(50), 60);
    assert.equal(limit.perSecond, 3);
    limit.recordAnswer(NONE, request(70), 80);
    assert.equal(limit.perSecond, undefined);
});

test("limit: an answer that was under way when it was stated does not end it", () => {
    const limit = new RequestLimit();
    limit.recordAnswer(states(7.8), request(20), 40);
    limit.recordAnswer(NONE, request(30), 50);
    limit.recordAnswer(NONE, request(40), 51);
    assert.equal(limit.perSecond, 7.8);
});

test("limit: of two that were under way at the same time the lower one holds", () => {
    const limit = new RequestLimit();
    limit.recordAnswer(states(3), request(10), 20);
    limit.recordAnswer(states(9), request(15), 25);
    assert.equal(limit.perSecond, 3);
    limit.recordAnswer(states(9), request(30), 40);
    assert.equal(limit.perSecond, 9);
});

test("limit: a value that can't be read changes nothing", () => {
    const limit = new RequestLimit();
    limit.recordAnswer(states(3), request(10), 20);
    limit.recordAnswer({ type: "unreadable", text: "abc" }, request(30), 40);
    assert.equal(limit.perSecond, 3);
});

test("limit: a health answer without it ends it only where health answers state it too", () => {
    const health = (sentAt: number): Parameters<RequestLimit["recordAnswer"]>[1] => ({ sentAt, isHealth: true });
    const limit = new RequestLimit();
    limit.recordAnswer(states(3), request(10), 20);
    limit.recordAnswer(NONE, health(30), 40);
    assert.equal(limit.perSecond, 3);
    limit.recordAnswer(states(3), health(50), 60);
    limit.recordAnswer(NONE, health(70), 80);
    assert.equal(limit.perSecond, undefined);
});

test("limit: what senders were told holds in a gate that has just started, until the upstream itself has answered there", () => {
    const limit = new RequestLimit();
    limit.recordTold(7.8, 0);
    assert.equal(limit.perSecond, 7.8);
    assert.ok(limit.opensAt(1, 0) > 100, "nothing at once: what was sent before the start is not known");
    limit.recordAnswer(NONE, request(-5), 10);
    assert.equal(limit.perSecond, undefined);
    limit.recordTold(7.8, 20);
    assert.equal(limit.perSecond, undefined);
});

test("limit: questions to the health endpoint take no request's place", () => {
    const limit = new RequestLimit();
    assert.equal(limit.mayAskHealth(0), true);
    limit.recordAnswer(states(2), request(0), 10);
    limit.recordSent(1000);
    assert.equal(limit.mayAskHealth(2000), false);
    assert.equal(limit.mayAskHealth(5000), true);
});

const WINDOW_MS = 4000;
const mostInAWindow = (times: readonly number[]): number => {
    let first = 0;
    return times.reduce((most, at, index) => {
        while (at - times[first]! > WINDOW_MS) {
            first += 1;
        }
        return Math.max(most, index - first + 1);
    }, 0);
};

type Play = {
    readonly everyMs: number;
    readonly answerMs: readonly number[];
    readonly perSecond: number;
    readonly statedAt: number;
    readonly starts: readonly number[];
};

/** When requests are sent to an upstream that states a limit from a moment on; its gate starts anew now and then, and senders tell it. */
const sentUnder = ({ everyMs, answerMs, perSecond, statedAt, starts }: Play): number[] => {
    const sent: number[] = [];
    let limit = new RequestLimit();
    let isTold = false;
    let flying: { readonly sentAt: number; readonly endsAt: number; }[] = [];
    for (let now = 0; now < 16_000; now += 1) {
        if (starts.includes(now)) {
            limit = new RequestLimit();
            flying = [];
        }
        flying.filter(({ endsAt }) => endsAt === now).forEach(({ sentAt }) => {
            isTold ||= now >= statedAt;
            limit.recordAnswer(now >= statedAt ? states(perSecond) : NONE, request(sentAt), now);
        });
        if (now % everyMs === 0) {
            if (isTold) {
                limit.recordTold(perSecond, now);
            }
            if (limit.opensAt(1, now) <= now) {
                limit.recordSent(now);
                sent.push(now);
                flying.push({ sentAt: now, endsAt: now + answerMs[sent.length % answerMs.length]! });
            }
        }
    }
    return sent;
};

// Guards against an upstream that states a limit and is sent more than one and a half times what it allows in 4 s, and five.
test("limit: under any load, answers that overtake each other and starts of the gate, no 4 s hold more than the bound", () => {
    fc.assert(fc.property(
        fc.record({
            everyMs: fc.integer({ min: 1, max: 80 }),
            answerMs: fc.array(fc.integer({ min: 1, max: 300 }), { minLength: 1, maxLength: 5 }),
            perSecond: fc.double({ min: 0, max: 60, noNaN: true }),
            statedAt: fc.integer({ min: 0, max: 4000 }),
            starts: fc.array(fc.integer({ min: 4500, max: 15_000 }), { maxLength: 4 }),
        }),
        play => {
            const counted = sentUnder(play).filter(at => at > play.statedAt + 500);
            const allowed = 1.5 * 4 * play.perSecond + 5;
            assert.ok(mostInAWindow(counted) <= allowed, `${mostInAWindow(counted)} of ${allowed}`);
        },
    ));
});

test("limit: the rate holds over a change, and a limit stated again and again grants nothing at once", () => {
    const limit = new RequestLimit();
    let sent = 0;
    for (let now = 0; now < 4000; now += 1) {
        if (now % 100 === 0) {
            limit.recordAnswer(states(now % 200 === 0 ? 4 : 8), request(now), now);
        }
        if (limit.opensAt(1, now) <= now) {
            limit.recordSent(now);
            sent += 1;
        }
    }
    assert.ok(sent >= 16 && sent <= 36, `${sent}`);
});
