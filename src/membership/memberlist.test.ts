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
