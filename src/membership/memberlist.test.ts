import assert from "node:assert/strict";
import { test } from "node:test";
import type { Address } from "../ids/address.js";
import type { Incarnation } from "../ids/incarnation.js";
import type { Member } from "../wire/member.js";
import { MemberList } from "./memberlist.js";

const PEER = "10.0.0.2:7620" as Address;

const member = (incarnation: string, version: number, upstream = "i-1"): Member => ({
    gate: PEER,
    host: "h2" as Member["host"],
    hall: "a" as Member["hall"],
    region: "r" as Member["region"],
    incarnation: incarnation as Incarnation,
    version,
    upstreams: [{ name: upstream, service: "s", address: "10.0.0.2:80", slots: 4, draining: false }] as never,
});

const roster = (): MemberList => new MemberList("10.0.0.1:7620" as Address);
const names = (of: MemberList): string[] => of.upstreams.map(upstream => upstream.name);

test("members: a later version of the same life replaces the earlier one, never the other way", () => {
    const all = roster();
    assert.equal(all.record(member("one", 2, "i-2"), "store", 0), true);
    assert.equal(all.record(member("one", 1, "i-1"), "itself", 0), false);
    assert.deepEqual(names(all), ["i-2"]);
});

test("members: a daemon's own word goes before an older record in the store", () => {
    const all = roster();
    all.record(member("two", 0, "i-2"), "itself", 1000);
    assert.equal(all.record(member("one", 9, "i-1"), "store", 2000), false);
    assert.equal(all.record(member("three", 0, "i-3"), "store", 9000), true, "but not for ever");
    assert.deepEqual(names(all), ["i-3"]);
});

test("members: what a peer tells fills gaps only", () => {
    const all = roster();
    assert.equal(all.record(member("one", 0, "i-1"), "peer", 0), true);
    assert.equal(all.record(member("two", 0, "i-2"), "peer", 0), false);
    assert.deepEqual(names(all), ["i-1"]);
});

test("members: a record that is gone is a hint; the member goes when it is silent too", () => {
    const all = roster();
    all.record(member("one", 0), "store", 0);
    all.recordLapse(PEER, 1000);
    all.recordAlive(PEER, 1500);
    assert.deepEqual(all.removeGone(9000), [], "it was heard since");
    all.record(member("one", 0), "store", 9000);
    all.recordLapse(PEER, 10_000);
    assert.deepEqual(all.doubtful(11_000), [PEER]);
    assert.deepEqual(all.removeGone(12_000), []);
    assert.deepEqual(all.removeGone(13_000), [PEER]);
    assert.deepEqual(names(all), []);
});

test("members: a record that comes back ends the doubt", () => {
    const all = roster();
    all.record(member("one", 0), "store", 0);
    all.recordLapse(PEER, 1000);
    all.record(member("one", 0), "store", 1100);
    assert.deepEqual(all.doubtful(1200), []);
});

test("members: a peer gets what it lacks, and all where that is no longer known", () => {
    const all = roster();
    all.record(member("one", 0), "store", 0);
    const seen = all.changes;
    assert.deepEqual(all.changesSince(undefined), { complete: true, members: [member("one", 0)], gone: [] });
    assert.deepEqual(all.changesSince(seen), { complete: false, members: [], gone: [] });
    all.record(member("one", 1), "store", 0);
    assert.deepEqual(all.changesSince(seen), { complete: false, members: [member("one", 1)], gone: [] });
    all.remove(PEER);
    assert.deepEqual(all.changesSince(seen), { complete: false, members: [], gone: [PEER] });
    all.record(member("two", 0), "store", 0);
    assert.deepEqual(all.changesSince(seen), { complete: false, members: [member("two", 0)], gone: [] });
    for (let at = 0; at < 300; at++) {
        const gate = `10.0.1.${at}:7620` as Address;
        all.record({ ...member("one", 0), gate }, "store", 0);
        all.remove(gate);
    }
    assert.equal(all.changesSince(seen).complete, true, "more have gone than are remembered");
    assert.equal(all.changesSince(all.changes + 1).complete, true, "the mark of another list");
});

test("members: many changes at once are one for listeners", () => {
    const all = roster();
    let changes = 0;
    all.onChange(() => changes += 1);
    all.inOne(() => {
        all.record(member("one", 0), "store", 0);
        all.inOne(() => all.record(member("one", 1), "store", 0));
        assert.equal(changes, 0);
    });
    all.inOne(() => all.record(member("one", 1), "store", 0));
    assert.equal(changes, 1);
});

test("members: one that a peer has given up goes, unless it has just spoken here itself", () => {
    const all = roster();
    all.record(member("one", 0), "store", 0);
    all.recordAlive(PEER, 1000);
    all.recordGone(PEER, 2000);
    assert.equal(all.members.length, 1);
    assert.equal(all.isDoubtful(PEER, 2000), true);
    all.recordGone(PEER, 6000);
    assert.equal(all.members.length, 0);
});

test("members: listeners are called at changes only, and the daemon itself is no member", () => {
    const all = roster();
    let changes = 0;
    all.onChange(() => changes += 1);
    all.record(member("one", 0), "store", 0);
    all.record(member("one", 0), "store", 0);
    all.record({ ...member("one", 0), gate: "10.0.0.1:7620" as Address }, "store", 0);
    all.remove(PEER);
    all.remove(PEER);
    assert.equal(changes, 2);
});
