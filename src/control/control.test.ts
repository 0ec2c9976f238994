import assert from "node:assert/strict";
import { test } from "node:test";
import { applyChanges } from "../config/applychanges.js";
import type { Document } from "../config/document.js";
import { emptyDocument } from "../config/emptydocument.js";
import { findRuling } from "../config/findruling.js";
import { parse } from "../config/parse.js";
import { Rule } from "../config/rule.js";
import { Service } from "../config/service.js";
import type { Address } from "../ids/address.js";
import type { ChangeId } from "../ids/changeid.js";
import { Election } from "./election.js";
import { Keeper } from "./keeper.js";

const address = (name: string): Address => name as Address;
const change = (document: Document, id: string, name: string): Document =>
    applyChanges(document, id as ChangeId, [{ type: "putService", service: parse(Service, { name }) }]);

test("keeper: moves forward only, and patches take a peer along", () => {
    const first = change(emptyDocument, "c1", "a");
    const second = change(first, "c2", "b");
    const [ahead, behind] = [new Keeper(), new Keeper()];
    ahead.adopt(first);
    behind.adopt(first);
    ahead.adopt(second);
    assert.equal(ahead.adopt(first), false);
    const update = ahead.update(1)!;
    assert.equal(update.type, "patches");
    assert.equal(behind.take(update), true);
    assert.deepEqual(behind.document, second);
    assert.equal(ahead.update(0)!.type, "full");
    assert.equal(ahead.update(2), undefined);
});

test("keeper: is fresh only while the store's word is", () => {
    const keeper = new Keeper();
    keeper.adopt(change(emptyDocument, "c1", "a"));
    keeper.confirm(2, 0);
    assert.equal(keeper.fresh(1), false, "there is a newer one");
    keeper.confirm(1, 0);
    assert.equal(keeper.fresh(11_999), true);
    assert.equal(keeper.fresh(12_000), false);
});

test("election: two watch, a silent one is replaced, a returned one steps in again", () => {
    const ranked = ["g1", "g2", "g3"].map(address);
    const third = new Election(address("g3"), 0);
    third.members(ranked);
    third.beat(address("g1"), true, 1000);
    third.beat(address("g2"), true, 1000);
    assert.equal(third.shouldWatch(1000), false);
    assert.equal(third.shouldWatch(5900), false);
    assert.equal(third.shouldWatch(6500), true);
    third.beat(address("g1"), true, 7000);
    third.beat(address("g2"), true, 7000);
    assert.equal(third.shouldWatch(7000), false);
    const first = new Election(address("g1"), 0);
    first.members(ranked);
    assert.equal(first.shouldWatch(0), true);
});

test("rules: the most exact one is taken, and its order does not matter", () => {
    const rules = [
        { name: "all", pathPrefix: "/" },
        { name: "long", pathPrefix: "/a/b" },
        { name: "post", pathPrefix: "/a/b", methods: ["POST"] },
        { name: "host", pathPrefix: "/", host: "h" },
    ].map(rule => parse(Rule, { ...rule, service: "s" }));
    const document = { ...emptyDocument, services: [parse(Service, { name: "s" })], rules };
    const find = (method: string, host: string, path: string): string | undefined =>
        findRuling(document, { method, host, path }, true, 0)?.rule.name;
    assert.equal(find("GET", "x", "/a/b/c?q"), "long");
    assert.equal(find("POST", "x", "/a/b"), "post");
    assert.equal(find("GET", "x", "/a/bc"), "all");
    assert.equal(find("GET", "h:80", "/a/b"), "host");
});
