import assert from "node:assert/strict";
import { test } from "node:test";
import type { Address } from "../ids/address.js";
import { WatcherElection } from "./watcherelection.js";

const address = (name: string): Address => name as Address;

test("election: two watch, a silent one is replaced, a returned one steps in again", () => {
    const ranked = ["g1", "g2", "g3"].map(address);
    const third = new WatcherElection(address("g3"), 0);
    third.setMembers(ranked);
    third.recordHeartbeat(address("g1"), true, 1000);
    third.recordHeartbeat(address("g2"), true, 1000);
    assert.equal(third.shouldWatch(1000), false);
    assert.equal(third.shouldWatch(5900), false);
    assert.equal(third.shouldWatch(6500), true);
    third.recordHeartbeat(address("g1"), true, 7000);
    third.recordHeartbeat(address("g2"), true, 7000);
    assert.equal(third.shouldWatch(7000), false);
    const first = new WatcherElection(address("g1"), 0);
    first.setMembers(ranked);
    assert.equal(first.shouldWatch(0), true);
});
