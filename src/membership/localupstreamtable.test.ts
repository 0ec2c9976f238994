import fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import type { UpstreamName } from "../ids/upstreamname.js";
import type { Announcement } from "./announcement.js";
import { LocalUpstreamTable } from "./localupstreamtable.js";

const FIRST = "i-1" as UpstreamName;
const SECOND = "i-2" as UpstreamName;

const announcementOf = (sequence: number, overrides: Partial<Announcement> = {}): Announcement => ({
    service: "s" as Announcement["service"],
    address: "10.0.0.1:80" as Announcement["address"],
    slots: 4,
    state: "ready",
    coldMs: 0,
    sequence,
    ...overrides,
});

const namesIn = (table: LocalUpstreamTable): string[] => table.all.map(upstream => upstream.name);

test("local upstream table: a changed announcement counts as a change, a repeated one does not", () => {
    const table = new LocalUpstreamTable();
    assert.equal(table.record(FIRST, announcementOf(1), 0), true);
    assert.equal(table.record(FIRST, announcementOf(2), 0), false);
    assert.equal(table.record(FIRST, announcementOf(3, { state: "draining" }), 0), true);
    assert.equal(table.all[0]!.draining, true);
});

test("local upstream table: a delayed announcement does not revert a later one", () => {
    const table = new LocalUpstreamTable();
    table.record(FIRST, announcementOf(5, { state: "draining" }), 0);
    assert.equal(table.record(FIRST, announcementOf(4), 0), false);
    assert.equal(table.all[0]!.draining, true);
});

test("local upstream table: a delayed announcement does not register an upstream that has left again", () => {
    const table = new LocalUpstreamTable();
    table.record(FIRST, announcementOf(1), 0);
    assert.equal(table.remove(FIRST), true);
    assert.equal(table.remove(FIRST), false);
    assert.equal(table.record(FIRST, announcementOf(2), 0), false);
    assert.deepEqual(namesIn(table), []);
});

test("local upstream table: an address belongs to the upstream that announced it last, even across services", () => {
    const table = new LocalUpstreamTable();
    table.record(FIRST, announcementOf(1), 0);
    table.record(SECOND, announcementOf(1, { service: "other" as Announcement["service"] }), 0);
    assert.deepEqual(namesIn(table), ["i-2"]);
    table.record(FIRST, announcementOf(2), 0);
    assert.deepEqual(namesIn(table), ["i-2"]);
});

test("local upstream table: removes an upstream after its timeout, and accepts a later announcement", () => {
    const table = new LocalUpstreamTable();
    table.record(FIRST, announcementOf(1), 0);
    assert.deepEqual(table.removeUnresponsive(6999), []);
    assert.deepEqual(table.removeUnresponsive(7000), [FIRST]);
    assert.equal(table.record(FIRST, announcementOf(2), 8000), true);
});

test("local upstream table: a restart under the same name is a new incarnation with new sequence numbers", () => {
    const table = new LocalUpstreamTable();
    table.record(FIRST, announcementOf(50, { born: 1000, slots: 4 }), 0);
    assert.equal(table.removeEarlierIncarnation(FIRST, 1000), false);
    assert.equal(table.removeEarlierIncarnation(FIRST, undefined), false);
    assert.equal(table.removeEarlierIncarnation(FIRST, 2000), true);
    assert.deepEqual(namesIn(table), []);
    assert.equal(table.record(FIRST, announcementOf(1, { born: 2000, slots: 6 }), 0), true);
    assert.equal(
        table.record(FIRST, announcementOf(51, { born: 1000, state: "draining" }), 0),
        false,
        "a delayed announcement of the earlier incarnation is ignored",
    );
    assert.equal(
        table.remove(FIRST, 1000),
        false,
        "a departure of the earlier incarnation does not remove the later one",
    );
    assert.equal(table.all[0]!.draining, false);
    assert.equal(table.all[0]!.slots, 6);
});

test("local upstream table: an incarnation that has left stays removed, a later one is accepted", () => {
    const table = new LocalUpstreamTable();
    table.record(FIRST, announcementOf(1, { born: 1000 }), 0);
    table.remove(FIRST);
    assert.equal(table.record(FIRST, announcementOf(9, { born: 1000 }), 0), false);
    assert.equal(table.record(FIRST, announcementOf(9), 0), false);
    assert.equal(table.record(FIRST, announcementOf(0, { born: 1001 }), 0), true);
    table.remove(FIRST, 1001);
    assert.equal(table.record(FIRST, announcementOf(2, { born: 1001 }), 0), false);
});

test("local upstream table: the last incarnation prevails in any order of announcements and departures", () => {
    const message = fc.record({ born: fc.integer({ min: 1, max: 4 }), sequence: fc.nat(20), leaves: fc.boolean() });
    fc.assert(fc.property(fc.array(message, { minLength: 1, maxLength: 12 }), messages => {
        const table = new LocalUpstreamTable();
        for (const { born, sequence, leaves } of messages) {
            if (leaves) {
                table.remove(FIRST, born);
                continue;
            }
            table.removeEarlierIncarnation(FIRST, born);
            table.record(FIRST, announcementOf(sequence, { born, slots: born }), 0);
        }
        const latest = Math.max(...messages.map(({ born }) => born));
        const hasLeft = messages.some(({ born, leaves }) => leaves && born === latest);
        assert.deepEqual(table.all.map(({ slots }) => slots), hasLeft ? [] : [latest]);
    }));
});

test("local upstream table: an upstream whose responses report that it is leaving drains until it restarts", () => {
    const table = new LocalUpstreamTable();
    table.record(FIRST, announcementOf(1, { born: 1000 }), 0);
    assert.equal(table.recordLeaving(FIRST), true);
    assert.equal(table.recordLeaving(FIRST), false);
    table.record(FIRST, announcementOf(2, { born: 1000 }), 0);
    assert.equal(table.all[0]!.draining, true);
    table.removeEarlierIncarnation(FIRST, 1001);
    table.record(FIRST, announcementOf(1, { born: 1001 }), 0);
    assert.equal(table.all[0]!.draining, false);
});
