import fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import type { CrashId } from "../../ids/crashid.js";
import type { RequestKey } from "../../ids/requestkey.js";
import { CrashHistory } from "./crashhistory.js";
import { crashLimits } from "./crashlimits.js";
import type { CrashRecord } from "./crashrecord.js";

const bad = "bad" as RequestKey;

const ended = (crash: string, request = bad, ageMs = 0): CrashRecord => ({
    request,
    crashes: [crash as CrashId],
    cleared: [],
    ageMs,
});

test("crash history: quarantined from the third crash on, suspect from the second, and the same crash counts once", () => {
    const history = new CrashHistory();
    assert.equal(history.standing(bad, 0), "free");
    history.merge([ended("1"), ended("1")], 0);
    assert.equal(history.standing(bad, 0), "free");
    history.merge([ended("2")], 0);
    assert.equal(history.standing(bad, 0), "suspect");
    history.merge([ended("3")], 0);
    assert.equal(history.standing(bad, 0), "quarantined");
    assert.equal(history.quarantinedForMs(bad, 1000), crashLimits.holdMs - 1000);
    assert.equal(history.standing("other" as RequestKey, 0), "free");
});

test("crash history: tried again after the hold, and one more crash quarantines it again", () => {
    const history = new CrashHistory();
    history.merge(["1", "2", "3"].map(id => ended(id)), 0);
    const later = crashLimits.holdMs;
    assert.equal(history.standing(bad, later), "suspect");
    history.merge([ended("4")], later);
    assert.equal(history.standing(bad, later + 1), "quarantined");
    history.merge([], later + crashLimits.keepMs);
    assert.equal(history.isEmpty, true, "and forgotten at last");
});

test("crash history: served well, the crashes so far are not its doing; later ones count anew", () => {
    const history = new CrashHistory();
    history.merge(["1", "2", "3"].map(id => ended(id)), 0);
    assert.equal(history.clear(bad), true);
    assert.equal(history.standing(bad, 0), "free");
    assert.equal(history.clear(bad), false);
    history.merge(["1", "4", "5"].map(id => ended(id)), 0);
    assert.equal(history.standing(bad, 0), "suspect");
});

test("crash history: a crash that is told again later, as by what lies in the store, holds the request no longer", () => {
    const history = new CrashHistory();
    const told = ["1", "2", "3"].map(id => ended(id));
    history.merge(told, 0);
    history.merge(told, crashLimits.holdMs / 2);
    assert.equal(history.quarantinedForMs(bad, crashLimits.holdMs / 2), crashLimits.holdMs / 2);
    history.merge(told, crashLimits.keepMs);
    assert.equal(history.isEmpty, true, "nor is it kept any longer");
});

test("crash history: what is kept is bounded, and of the requests those with the fewest crashes go first", () => {
    const history = new CrashHistory();
    history.merge(["1", "2"].map(id => ended(id)), 0);
    for (let at = 0; at < crashLimits.maxRequests * 2; at++) {
        history.merge([ended("x", `r${at}` as RequestKey)], 1 + at);
    }
    assert.equal(history.changedAfter(0, 0).length, crashLimits.maxRequests);
    assert.equal(history.standing(bad, 1000), "suspect");
    const many = Array.from({ length: crashLimits.maxCrashes * 2 }, (_, at) => ended(`c${at}`));
    history.merge(many, 2000);
    assert.equal(history.find(bad, 2000)!.crashes.length, crashLimits.maxCrashes);
});

test("crash history: what has changed since it was told is told, and the mark of suspects is another one from the second crash on", () => {
    const history = new CrashHistory();
    history.merge([ended("1"), ended("1", "other" as RequestKey)], 0);
    const told = history.changes;
    assert.deepEqual(history.changedAfter(told, 0), []);
    assert.equal(history.suspectMark, undefined);
    history.merge([ended("1"), ended("2")], 0);
    assert.deepEqual(history.changedAfter(told, 0).map(({ request }) => request), [bad]);
    assert.notEqual(history.suspectMark, undefined);
    history.clear(bad);
    assert.equal(history.suspectMark, undefined);
});

const records = fc.array(
    fc.record({
        request: fc.constantFrom("a", "b", "c"),
        crashes: fc.uniqueArray(fc.nat({ max: 30 }).map(String), { maxLength: 4 }),
        cleared: fc.uniqueArray(fc.nat({ max: 30 }).map(String), { maxLength: 4 }),
        ageMs: fc.nat({ max: 1000 }),
    }).map(record => record as unknown as CrashRecord),
    { maxLength: 30 },
);

test("crash history: daemons that were told the same, in whichever order and how often, hold the same and have the same mark", () => {
    fc.assert(
        fc.property(records, fc.infiniteStream(fc.double({ min: 0, max: 1, noNaN: true })), (told, draw) => {
            const [one, two] = [new CrashHistory(), new CrashHistory()];
            told.forEach(record => one.merge([record], 0));
            const shuffled = told.map(record => ({ record, at: draw.next().value! })).sort((a, b) => a.at - b.at);
            two.merge([...shuffled, ...shuffled].map(({ record }) => record), 0);
            assert.equal(one.mark, two.mark);
            ["a", "b", "c"].forEach(request =>
                assert.equal(one.standing(request as RequestKey, 0), two.standing(request as RequestKey, 0))
            );
        }),
        { seed: 34, numRuns: 500 },
    );
});

test("crash history: two that exchange all they know have the same mark then", () => {
    fc.assert(
        fc.property(records, records, (told, toldElsewhere) => {
            const [one, two] = [new CrashHistory(), new CrashHistory()];
            one.merge(told, 0);
            two.merge(toldElsewhere, 0);
            two.merge(one.changedAfter(0, 0), 0);
            one.merge(two.changedAfter(0, 0), 0);
            assert.equal(one.mark, two.mark);
        }),
        { seed: 34, numRuns: 500 },
    );
});
