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

const createList = (): MemberList => new MemberList("10.0.0.1:7620" as Address);
const upstreamNames = (list: MemberList): string[] => list.upstreams.map(upstream => upstream.name);

test("member list: a newer version replaces an older one of the same incarnation, but not the reverse", () => {
    const list = createList();
    assert.equal(list.record(member("one", 2, "i-2"), "store", 0), true);
    assert.equal(list.record(member("one", 1, "i-1"), "itself", 0), false);
    assert.deepEqual(upstreamNames(list), ["i-2"]);
});

test("member list: a daemon's own report takes precedence over a record in the store for a limited time", () => {
    const list = createList();
    list.record(member("two", 0, "i-2"), "itself", 1000);
    assert.equal(list.record(member("one", 9, "i-1"), "store", 2000), false);
    assert.equal(list.record(member("three", 0, "i-3"), "store", 9000), true, "the precedence has ended");
    assert.deepEqual(upstreamNames(list), ["i-3"]);
});

test("member list: a peer's report about a third daemon only adds a daemon that is not known", () => {
    const list = createList();
    assert.equal(list.record(member("one", 0, "i-1"), "peer", 0), true);
    assert.equal(list.record(member("two", 0, "i-2"), "peer", 0), false);
    assert.deepEqual(upstreamNames(list), ["i-1"]);
});

test("member list: a member whose record is gone is removed only if it is unresponsive as well", () => {
    const list = createList();
    list.record(member("one", 0), "store", 0);
    list.recordUnregistered(PEER, 1000);
    list.recordAlive(PEER, 1500);
    assert.deepEqual(list.removeUnresponsive(9000), [], "a message arrived after the record was gone");
    list.record(member("one", 0), "store", 9000);
    list.recordUnregistered(PEER, 10_000);
    assert.deepEqual(list.doubtfulGates(11_000), [PEER]);
    assert.deepEqual(list.removeUnresponsive(12_000), []);
    assert.deepEqual(list.removeUnresponsive(13_000), [PEER]);
    assert.deepEqual(upstreamNames(list), []);
});

test("member list: a member is no longer doubtful when its record is back", () => {
    const list = createList();
    list.record(member("one", 0), "store", 0);
    list.recordUnregistered(PEER, 1000);
    list.record(member("one", 0), "store", 1100);
    assert.deepEqual(list.doubtfulGates(1200), []);
});

test("member list: a peer gets the changes that it lacks, or the whole list if those are no longer known", () => {
    const list = createList();
    list.record(member("one", 0), "store", 0);
    const seenChanges = list.changeCount;
    assert.deepEqual(list.changesSince(undefined), { complete: true, members: [member("one", 0)], gone: [] });
    assert.deepEqual(list.changesSince(seenChanges), { complete: false, members: [], gone: [] });
    list.record(member("one", 1), "store", 0);
    assert.deepEqual(list.changesSince(seenChanges), { complete: false, members: [member("one", 1)], gone: [] });
    list.remove(PEER);
    assert.deepEqual(list.changesSince(seenChanges), { complete: false, members: [], gone: [PEER] });
    list.record(member("two", 0), "store", 0);
    assert.deepEqual(list.changesSince(seenChanges), { complete: false, members: [member("two", 0)], gone: [] });
    for (let index = 0; index < 300; index++) {
        const gate = `10.0.1.${index}:7620` as Address;
        list.record({ ...member("one", 0), gate }, "store", 0);
        list.remove(gate);
    }
    assert.equal(list.changesSince(seenChanges).complete, true, "more members were removed than are remembered");
    assert.equal(list.changesSince(list.changeCount + 1).complete, true, "the number belongs to another list");
});

test("member list: listeners are called once for a batch of changes", () => {
    const list = createList();
    let changes = 0;
    list.onChange(() => changes += 1);
    list.batch(() => {
        list.record(member("one", 0), "store", 0);
        list.batch(() => list.record(member("one", 1), "store", 0));
        assert.equal(changes, 0);
    });
    list.batch(() => list.record(member("one", 1), "store", 0));
    assert.equal(changes, 1);
});

test("member list: a member that a peer has removed is removed, unless it has just sent a message", () => {
    const list = createList();
    list.record(member("one", 0), "store", 0);
    list.recordAlive(PEER, 1000);
    list.recordRemoteRemoval(PEER, 2000);
    assert.equal(list.members.length, 1);
    assert.equal(list.isDoubtful(PEER, 2000), true);
    list.recordRemoteRemoval(PEER, 6000);
    assert.equal(list.members.length, 0);
});

test("member list: listeners are called for changes only, and the daemon itself is not a member", () => {
    const list = createList();
    let changes = 0;
    list.onChange(() => changes += 1);
    list.record(member("one", 0), "store", 0);
    list.record(member("one", 0), "store", 0);
    list.record({ ...member("one", 0), gate: "10.0.0.1:7620" as Address }, "store", 0);
    list.remove(PEER);
    list.remove(PEER);
    assert.equal(changes, 2);
});
