import fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import type { UpstreamName } from "../ids/upstreamname.js";
import type { Announcement } from "./announcement.js";
import { LocalUpstreams } from "./localupstreamtable.js";

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

test("local upstreams: one that starts again under its name is another life, whose numbers begin anew", () => {
    const announced = new LocalUpstreams();
    announced.record(one, say(50, { born: 1000, slots: 4 }), 0);
    assert.equal(announced.removeEarlierLife(one, 1000), false);
    assert.equal(announced.removeEarlierLife(one, undefined), false);
    assert.equal(announced.removeEarlierLife(one, 2000), true);
    assert.deepEqual(names(announced), []);
    assert.equal(announced.record(one, say(1, { born: 2000, slots: 6 }), 0), true);
    assert.equal(
        announced.record(one, say(51, { born: 1000, state: "draining" }), 0),
        false,
        "a late word of the earlier life",
    );
    assert.equal(announced.remove(one, 1000), false, "nor does that one's leaving end the later");
    assert.equal(announced.all[0]!.draining, false);
    assert.equal(announced.all[0]!.slots, 6);
});

test("local upstreams: a later life of one that has left may come, the one that left may not", () => {
    const announced = new LocalUpstreams();
    announced.record(one, say(1, { born: 1000 }), 0);
    announced.remove(one);
    assert.equal(announced.record(one, say(9, { born: 1000 }), 0), false);
    assert.equal(announced.record(one, say(9), 0), false);
    assert.equal(announced.record(one, say(0, { born: 1001 }), 0), true);
    announced.remove(one, 1001);
    assert.equal(announced.record(one, say(2, { born: 1001 }), 0), false);
});

test("local upstreams: in whatever order words of its lives arrive, the last life stays", () => {
    const word = fc.record({ born: fc.integer({ min: 1, max: 4 }), sequence: fc.nat(20), leaves: fc.boolean() });
    fc.assert(fc.property(fc.array(word, { minLength: 1, maxLength: 12 }), words => {
        const announced = new LocalUpstreams();
        for (const { born, sequence, leaves } of words) {
            if (leaves) {
                announced.remove(one, born);
                continue;
            }
            announced.removeEarlierLife(one, born);
            announced.record(one, say(sequence, { born, slots: born }), 0);
        }
        const last = Math.max(...words.map(({ born }) => born));
        const hasLeft = words.some(({ born, leaves }) => leaves && born === last);
        assert.deepEqual(announced.all.map(({ slots }) => slots), hasLeft ? [] : [last]);
    }));
});

test("local upstreams: one that leaves by its answers is draining in the record, whatever it announces in this life", () => {
    const announced = new LocalUpstreams();
    announced.record(one, say(1, { born: 1000 }), 0);
    assert.equal(announced.recordEnding(one), true);
    assert.equal(announced.recordEnding(one), false);
    announced.record(one, say(2, { born: 1000 }), 0);
    assert.equal(announced.all[0]!.draining, true);
    announced.removeEarlierLife(one, 1001);
    announced.record(one, say(1, { born: 1001 }), 0);
    assert.equal(announced.all[0]!.draining, false);
});
