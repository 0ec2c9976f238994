import assert from "node:assert/strict";
import { test } from "node:test";
import type { Incarnation } from "../ids/incarnation.js";
import type { UpstreamName } from "../ids/upstreamname.js";
import { UpstreamStatements } from "./upstreamstatements.js";

const UPSTREAM = "pages-1" as UpstreamName;
const FIRST_INCARNATION = "one" as Incarnation;
const NEXT_INCARNATION = "next" as Incarnation;

const createMetadata = (
    gateTime: number,
    fields: object = {},
    incarnation = FIRST_INCARNATION,
): Parameters<UpstreamStatements["recordResponse"]>[1] => ({
    gateTime,
    incarnation,
    ...fields,
});

test("statements: a stated limit holds until a response omits it, and a late older response changes nothing", () => {
    const statements = new UpstreamStatements();
    statements.recordResponse(UPSTREAM, createMetadata(10, { limitPerSecond: 7.8 }));
    statements.recordResponse(UPSTREAM, createMetadata(5));
    assert.equal(statements.limitPerSecond(UPSTREAM), 7.8);
    statements.recordResponse(UPSTREAM, createMetadata(20));
    assert.equal(statements.limitPerSecond(UPSTREAM), undefined);
});

// Guards against a restarted daemon that does not know the limit yet and revokes it by its refusals.
test("statements: a refusal by a restarted gate does not revoke a limit, a response of the upstream does", () => {
    const statements = new UpstreamStatements();
    statements.recordResponse(UPSTREAM, createMetadata(10_000, { limitPerSecond: 7.8 }));
    statements.recordRefusal(UPSTREAM, createMetadata(1, {}, NEXT_INCARNATION));
    assert.equal(statements.limitPerSecond(UPSTREAM), 7.8);
    statements.recordResponse(UPSTREAM, createMetadata(2, {}, NEXT_INCARNATION));
    assert.equal(statements.limitPerSecond(UPSTREAM), undefined);
});

test("statements: leaving permanently is never revoked, and the number of remembered upstreams is bounded", () => {
    const statements = new UpstreamStatements();
    statements.recordResponse(UPSTREAM, createMetadata(10, { ending: true }));
    statements.recordResponse(UPSTREAM, createMetadata(20));
    statements.recordResponse(UPSTREAM, createMetadata(30, { limitPerSecond: 3 }));
    assert.equal(statements.isLeavingPermanently(UPSTREAM), true);
    for (let index = 0; index < 1024; index++) {
        statements.recordResponse(`other-${index}` as UpstreamName, createMetadata(40, { ending: true }));
    }
    assert.equal(statements.isLeavingPermanently(UPSTREAM), false);
});
