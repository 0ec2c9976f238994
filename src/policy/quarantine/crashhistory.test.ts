import fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import type { CrashId } from "../../ids/crashid.js";
import type { RequestKey } from "../../ids/requestkey.js";
import { CrashHistory } from "./crashhistory.js";
import { crashLimits } from "./crashlimits.js";
import type { CrashRecord } from "./crashrecord.js";

const crashing = "bad" as RequestKey;

const crashRecord = (crash: string, request = crashing, ageMs = 0): CrashRecord => ({
    request,
    crashes: [crash as CrashId],
    cleared: [],
    ageMs,
});

test("crash history: suspect from the second crash, quarantined from the third, and each crash counts once", () => {
    const history = new CrashHistory();
    assert.equal(history.statusOf(crashing, 0), "free");
    history.merge([crashRecord("1"), crashRecord("1")], 0);
    assert.equal(history.statusOf(crashing, 0), "free");
    history.merge([crashRecord("2")], 0);
    assert.equal(history.statusOf(crashing, 0), "suspect");
    history.merge([crashRecord("3")], 0);
    assert.equal(history.statusOf(crashing, 0), "quarantined");
    assert.equal(history.quarantinedForMs(crashing, 1000), crashLimits.quarantineMs - 1000);
    assert.equal(history.statusOf("other" as RequestKey, 0), "free");
});

test("crash history: a request may run again after its quarantine, and one more crash quarantines it again", () => {
    const history = new CrashHistory();
    history.merge(["1", "2", "3"].map(id => crashRecord(id)), 0);
    const later = crashLimits.quarantineMs;
    assert.equal(history.statusOf(crashing, later), "suspect");
    history.merge([crashRecord("4")], later);
    assert.equal(history.statusOf(crashing, later + 1), "quarantined");
    history.merge([], later + crashLimits.retentionMs);
    assert.equal(history.isEmpty, true, "evicted after the retention period");
});

test("crash history: a request that was served successfully is cleared of earlier crashes, not of later ones", () => {
    const history = new CrashHistory();
    history.merge(["1", "2", "3"].map(id => crashRecord(id)), 0);
    assert.equal(history.clear(crashing), true);
    assert.equal(history.statusOf(crashing, 0), "free");
    assert.equal(history.clear(crashing), false);
    history.merge(["1", "4", "5"].map(id => crashRecord(id)), 0);
    assert.equal(history.statusOf(crashing, 0), "suspect");
});

test("crash history: a crash that is reported again later, as by the store, does not extend the quarantine", () => {
    const history = new CrashHistory();
    const received = ["1", "2", "3"].map(id => crashRecord(id));
    history.merge(received, 0);
    history.merge(received, crashLimits.quarantineMs / 2);
    assert.equal(history.quarantinedForMs(crashing, crashLimits.quarantineMs / 2), crashLimits.quarantineMs / 2);
    history.merge(received, crashLimits.retentionMs);
    assert.equal(history.isEmpty, true, "the retention period is not extended either");
});

test("crash history: the size is bounded, and requests with the fewest crashes are evicted first", () => {
    const history = new CrashHistory();
    history.merge(["1", "2"].map(id => crashRecord(id)), 0);
    for (let index = 0; index < crashLimits.maxRequests * 2; index++) {
        history.merge([crashRecord("x", `r${index}` as RequestKey)], 1 + index);
    }
    assert.equal(history.recordsChangedAfter(0, 0).length, crashLimits.maxRequests);
    assert.equal(history.statusOf(crashing, 1000), "suspect");
    const many = Array.from({ length: crashLimits.maxCrashesPerRequest * 2 }, (_, index) => crashRecord(`c${index}`));
    history.merge(many, 2000);
    assert.equal(history.recordOf(crashing, 2000)!.crashes.length, crashLimits.maxCrashesPerRequest);
});

test("crash history: returns the records changed since a count; the suspect digest covers suspects only", () => {
    const history = new CrashHistory();
    history.merge([crashRecord("1"), crashRecord("1", "other" as RequestKey)], 0);
    const changesBefore = history.changeCount;
    assert.deepEqual(history.recordsChangedAfter(changesBefore, 0), []);
    assert.equal(history.suspectDigest, undefined);
    history.merge([crashRecord("1"), crashRecord("2")], 0);
    assert.deepEqual(history.recordsChangedAfter(changesBefore, 0).map(({ request }) => request), [crashing]);
    assert.notEqual(history.suspectDigest, undefined);
    history.clear(crashing);
    assert.equal(history.suspectDigest, undefined);
});

const recordLists = fc.array(
    fc.record({
        request: fc.constantFrom("a", "b", "c"),
        crashes: fc.uniqueArray(fc.nat({ max: 30 }).map(String), { maxLength: 4 }),
        cleared: fc.uniqueArray(fc.nat({ max: 30 }).map(String), { maxLength: 4 }),
        ageMs: fc.nat({ max: 1000 }),
    }).map(record => record as unknown as CrashRecord),
    { maxLength: 30 },
);

test("crash history: the same records, in any order and repeated, yield the same statuses and digest", () => {
    fc.assert(
        fc.property(
            recordLists,
            fc.infiniteStream(fc.double({ min: 0, max: 1, noNaN: true })),
            (received, sortKeys) => {
                const [one, two] = [new CrashHistory(), new CrashHistory()];
                received.forEach(record => one.merge([record], 0));
                const shuffled = received.map(record => ({ record, at: sortKeys.next().value! })).sort((a, b) =>
                    a.at - b.at
                );
                two.merge([...shuffled, ...shuffled].map(({ record }) => record), 0);
                assert.equal(one.digest, two.digest);
                ["a", "b", "c"].forEach(request =>
                    assert.equal(one.statusOf(request as RequestKey, 0), two.statusOf(request as RequestKey, 0))
                );
            },
        ),
        { seed: 34, numRuns: 500 },
    );
});

test("crash history: two histories that have exchanged all records have the same digest", () => {
    fc.assert(
        fc.property(recordLists, recordLists, (received, receivedElsewhere) => {
            const [one, two] = [new CrashHistory(), new CrashHistory()];
            one.merge(received, 0);
            two.merge(receivedElsewhere, 0);
            two.merge(one.recordsChangedAfter(0, 0), 0);
            one.merge(two.recordsChangedAfter(0, 0), 0);
            assert.equal(one.digest, two.digest);
        }),
        { seed: 34, numRuns: 500 },
    );
});
