import assert from "node:assert/strict";
import { test } from "node:test";
import type { AnswerNote } from "./answernote.js";
import type { CallHead } from "./callhead.js";
import { readHead } from "./readhead.js";
import { readNote } from "./readnote.js";
import { writeHead } from "./writehead.js";
import { writeNote } from "./writenote.js";

const head = {
    id: "abcdefghijkl.12",
    upstream: "i-1",
    kind: "once",
    priority: "urgent",
    tenant: "none",
    answer: "whole",
    remainingMs: 950.25,
    maxWaitMs: 1000,
    depth: 0,
    revision: 4,
    choices: 2,
    nearChoices: 1,
    from: "10.0.0.1:7620",
} as CallHead;

const note = {
    incarnation: "abcdefghijkl",
    gateTime: 1234.56,
    revision: 4,
    report: { running: 3, waiting: 1, limit: 12, serviceMs: 120.25, baseMs: 110, pace: 4 },
} as AnswerNote;

test("wire: a head comes back as it was, its times rounded down", () => {
    assert.deepEqual(readHead(writeHead(head)), { ...head, remainingMs: 950.2 });
});

test("wire: what is not as usual comes back too", () => {
    const full = { ...head, depth: 3, tenant: "t", answer: "streamed", offer: "o", incarnation: "x", gateTime: 7 };
    assert.deepEqual(readHead(writeHead(full as CallHead)), { ...full, remainingMs: 950.2 });
});

test("wire: a note comes back as it was", () => {
    const report = { ...note.report!, serviceMs: 120.2 };
    assert.deepEqual(readNote(writeNote(note)), { ...note, gateTime: 1234.5, report });
    const refusal = { ...note, report: undefined, outcome: "not-run", reason: "slow", retryAfterMs: 20 } as AnswerNote;
    const { report: _none, ...plain } = refusal;
    assert.deepEqual(readNote(writeNote(refusal)), { ...plain, gateTime: 1234.5, report: undefined });
});

test("wire: a head is short, since its bytes are paid for on each call", () => {
    assert.ok(writeHead(head).length < 110, String(writeHead(head).length));
});

test("wire: what is no record is turned down", () => {
    for (const text of [undefined, "", "{}", "[", "[1,2,3]", "null", ["a", "b"]]) {
        assert.equal(readHead(text), undefined);
        assert.equal(readNote(text), undefined);
    }
});
