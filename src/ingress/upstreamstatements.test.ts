import assert from "node:assert/strict";
import { test } from "node:test";
import type { Incarnation } from "../ids/incarnation.js";
import type { UpstreamName } from "../ids/upstreamname.js";
import { UpstreamStatements } from "./upstreamstatements.js";

const UPSTREAM = "pages-1" as UpstreamName;
const ONE_LIFE = "one" as Incarnation;
const NEXT_LIFE = "next" as Incarnation;

const note = (
    gateTime: number,
    more: object = {},
    incarnation = ONE_LIFE,
): Parameters<UpstreamStatements["recordAnswer"]>[1] => ({
    gateTime,
    incarnation,
    ...more,
});

test("statements: a limit holds until an answer without it, and an older one that comes late changes nothing", () => {
    const statements = new UpstreamStatements();
    statements.recordAnswer(UPSTREAM, note(10, { limitPerSecond: 7.8 }));
    statements.recordAnswer(UPSTREAM, note(5));
    assert.equal(statements.limitPerSecond(UPSTREAM), 7.8);
    statements.recordAnswer(UPSTREAM, note(20));
    assert.equal(statements.limitPerSecond(UPSTREAM), undefined);
});

// Guards against a daemon that has started again and takes the limit back by its ignorance.
test("statements: refusals of a gate that knows nothing take nothing back, an answer of the upstream does", () => {
    const statements = new UpstreamStatements();
    statements.recordAnswer(UPSTREAM, note(10_000, { limitPerSecond: 7.8 }));
    statements.recordRefusal(UPSTREAM, note(1, {}, NEXT_LIFE));
    assert.equal(statements.limitPerSecond(UPSTREAM), 7.8);
    statements.recordAnswer(UPSTREAM, note(2, {}, NEXT_LIFE));
    assert.equal(statements.limitPerSecond(UPSTREAM), undefined);
});

test("statements: one that leaves for good does so for good, and the memory is bounded", () => {
    const statements = new UpstreamStatements();
    statements.recordAnswer(UPSTREAM, note(10, { ending: true }));
    statements.recordAnswer(UPSTREAM, note(20));
    statements.recordAnswer(UPSTREAM, note(30, { limitPerSecond: 3 }));
    assert.equal(statements.isEnding(UPSTREAM), true);
    for (let at = 0; at < 1024; at++) {
        statements.recordAnswer(`other-${at}` as UpstreamName, note(40, { ending: true }));
    }
    assert.equal(statements.isEnding(UPSTREAM), false);
});
