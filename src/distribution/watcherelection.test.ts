import assert from "node:assert/strict";
import { test } from "node:test";
import type { Address } from "../ids/address.js";
import { HeartbeatSender } from "./heartbeatsender.js";
import { WatcherElection } from "./watcherelection.js";

const toAddress = (name: string): Address => name as Address;

test("election: two daemons watch; an unresponsive one is replaced until its heartbeats arrive again", () => {
    const ranked = ["g1", "g2", "g3"].map(toAddress);
    const third = new WatcherElection(toAddress("g3"), 0);
    third.setMembers(ranked);
    third.recordHeartbeat(toAddress("g1"), true, 1000);
    third.recordHeartbeat(toAddress("g2"), true, 1000);
    assert.equal(third.shouldWatch(1000), false);
    assert.equal(third.shouldWatch(5900), false);
    assert.equal(third.shouldWatch(6500), true);
    third.recordHeartbeat(toAddress("g1"), true, 7000);
    third.recordHeartbeat(toAddress("g2"), true, 7000);
    assert.equal(third.shouldWatch(7000), false);
    assert.equal(third.watcherFor(toAddress("g3"), 7000), "g1");
    assert.equal(third.watcherFor(toAddress("g2"), 7000), "g2");
    third.recordHeartbeat(toAddress("g1"), false, 7000);
    assert.equal(
        third.watcherFor(toAddress("g3"), 7000),
        "g2",
        "a daemon that reports that it does not watch has no followers",
    );
    const first = new WatcherElection(toAddress("g1"), 0);
    first.setMembers(ranked);
    assert.equal(first.shouldWatch(0), true);
});

test("election: a daemon that the store does not respond to watches only if it is among the first in rank", () => {
    const ranked = ["g1", "g2", "g3"].map(toAddress);
    const third = new WatcherElection(toAddress("g3"), 0);
    third.setMembers(ranked);
    assert.equal(third.shouldWatch(60_000, false), false);
    assert.equal(third.shouldWatch(60_000, true), true);
    const second = new WatcherElection(toAddress("g2"), 0);
    second.setMembers(ranked);
    assert.equal(second.shouldWatch(0, false), true);
});

test("election: a daemon that knows no others watches only after the time to discover others", () => {
    const alone = new WatcherElection(toAddress("g1"), 0, 4000);
    alone.setMembers([toAddress("g1")]);
    assert.equal(alone.shouldWatch(5000, false), false);
    assert.equal(alone.shouldWatch(5100, true), false);
    assert.equal(alone.shouldWatch(9099, true), false);
    assert.equal(alone.shouldWatch(9100, true), true);
    alone.setMembers(["g0", "g0b", "g1"].map(toAddress));
    alone.recordHeartbeat(toAddress("g0"), true, 9200);
    alone.recordHeartbeat(toAddress("g0b"), true, 9200);
    assert.equal(alone.shouldWatch(9200, true), false);
    const withoutDiscovery = new WatcherElection(toAddress("g1"), 0);
    assert.equal(
        withoutDiscovery.shouldWatch(0),
        true,
        "without discovery the watch is the only way to find others",
    );
});

test("election: during discovery, a daemon among the first in rank watches the configuration", () => {
    const alone = new WatcherElection(toAddress("g2"), 0, 4000);
    alone.setMembers([toAddress("g2")]);
    assert.equal(alone.scopeAt(5000, false), "nothing", "the store has not responded yet");
    assert.equal(alone.scopeAt(5000), "nothing");
    assert.equal(alone.scopeAt(6199), "nothing", "the first search may still find others");
    assert.equal(alone.scopeAt(6200), "configuration");
    alone.setMembers(["g0", "g1", "g2"].map(toAddress));
    assert.equal(alone.scopeAt(6300), "nothing", "two daemons are ahead in rank");
    alone.setMembers(["g1", "g2", "g3"].map(toAddress));
    assert.equal(alone.scopeAt(8999), "configuration");
    assert.equal(alone.scopeAt(9000), "all");
});

test("heartbeats: a later change does not delay recipients that wait for an earlier one", () => {
    const sent: string[] = [];
    let budget = 0;
    const all = ["g1", "g2", "g3", "g4"].map(toAddress);
    const sender = new HeartbeatSender(() => all, to => budget-- > 0 && sent.push(to) > 0);
    for (let now = 0; now < 200; now += 50) {
        sender.sendSoon();
        budget = 1;
        sender.tick(now);
    }
    assert.deepEqual(sent, all);
});
