import assert from "node:assert/strict";
import { test } from "node:test";
import type { Incarnation } from "../../ids/incarnation.js";
import { CounterView } from "./counterview.js";
import { excludesFormerLease } from "./excludesformerlease.js";

/** Returns the view of a counter that answered at `askedAt`, when its process had run for `uptimeMs`. */
const counter = (askedAt: number, uptimeMs: number): CounterView => {
    const view = new CounterView();
    view.recordAnswer("p" as Incarnation, uptimeMs, askedAt, askedAt + 5);
    return view;
};

// Guards against refusing all keyed requests for the length of a lease after a loss of power of all hosts.
test("former lease: is excluded if all candidates have started with this daemon or later", () => {
    assert.equal(excludesFormerLease([counter(600, 600), counter(700, 200), counter(650, 740)], 0), true);
});

// Guards against a share that is leased to two counters: one that has not restarted may hold a lease of the former process.
test("former lease: may exist if a candidate is older, has not answered, or there is none", () => {
    assert.equal(excludesFormerLease([counter(600, 600), counter(600, 5000)], 0), false);
    assert.equal(excludesFormerLease([counter(600, 600), new CounterView()], 0), false);
    assert.equal(excludesFormerLease([], 0), false);
});

test("former lease: a counter that has restarted since counts by its present process", () => {
    const view = counter(600, 5000);
    view.recordAnswer("q" as Incarnation, 300, 900, 905);
    assert.equal(excludesFormerLease([view], 0), true);
});
