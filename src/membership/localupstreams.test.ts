import assert from "node:assert/strict";
import { test } from "node:test";
import type { UpstreamName } from "../ids/upstreamname.js";
import type { Announcement } from "./announcement.js";
import { LocalUpstreams } from "./localupstreams.js";

const one = "i-1" as UpstreamName;
const two = "i-2" as UpstreamName;

const say = (sequence: number, more: Partial<Announcement> = {}): Announcement => ({
    service: "s" as Announcement["service"],
    address: "10.0.0.1:80" as Announcement["address"],
    slots: 4,
    state: "ready",
    coldMs: 0,
    sequence,
    ...more,
});

const names = (announced: LocalUpstreams): string[] => announced.all.map(upstream => upstream.name);

test("local upstreams: what repeats is no news, a change is", () => {
    const announced = new LocalUpstreams();
    assert.equal(announced.record(one, say(1), 0), true);
    assert.equal(announced.record(one, say(2), 0), false);
    assert.equal(announced.record(one, say(3, { state: "draining" }), 0), true);
    assert.equal(announced.all[0]!.draining, true);
});

test("local upstreams: one that comes late does not take back what was said after it", () => {
    const announced = new LocalUpstreams();
    announced.record(one, say(5, { state: "draining" }), 0);
    assert.equal(announced.record(one, say(4), 0), false);
    assert.equal(announced.all[0]!.draining, true);
});

test("local upstreams: an upstream that has left does not come back by a late word", () => {
    const announced = new LocalUpstreams();
    announced.record(one, say(1), 0);
    assert.equal(announced.remove(one), true);
    assert.equal(announced.remove(one), false);
    assert.equal(announced.record(one, say(2), 0), false);
    assert.deepEqual(names(announced), []);
});

test("local upstreams: an address serves the upstream that announced it last, of whatever service", () => {
    const announced = new LocalUpstreams();
    announced.record(one, say(1), 0);
    announced.record(two, say(1, { service: "other" as Announcement["service"] }), 0);
    assert.deepEqual(names(announced), ["i-2"]);
    announced.record(one, say(2), 0);
    assert.deepEqual(names(announced), ["i-2"]);
});

test("local upstreams: one that ends without a word goes when it is silent, and may come back", () => {
    const announced = new LocalUpstreams();
    announced.record(one, say(1), 0);
    assert.deepEqual(announced.removeSilent(6999), []);
    assert.deepEqual(announced.removeSilent(7000), [one]);
    assert.equal(announced.record(one, say(2), 8000), true);
});
