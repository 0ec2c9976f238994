import assert from "node:assert/strict";
import { test } from "node:test";
import type { Incarnation } from "../ids/incarnation.js";
import type { ServiceName } from "../ids/servicename.js";
import type { HostedUpstream } from "../wire/hostedupstream.js";
import type { Member } from "../wire/member.js";
import { LearnedShares } from "./learnedshares.js";

const PAGES = "pages" as ServiceName;
const THIS_INCARNATION = "this" as Incarnation;

const upstream = (name: string, limitShare?: number, service = "pages"): HostedUpstream =>
    ({ name, service, address: "10.0.0.2:80", slots: 18, draining: false, limitShare }) as never;

const ownRecord = (incarnation: string, upstreams: HostedUpstream[]): Member => ({ incarnation, upstreams }) as never;

const createShares = (learned: Record<string, number>): LearnedShares =>
    new LearnedShares({ incarnation: THIS_INCARNATION, learnedShare: name => learned[name] });

test("learned shares: a service has the median share of others' records and this daemon's earlier record", () => {
    const shares = createShares({});
    assert.equal(shares.medianShareOf(PAGES, [upstream("a"), upstream("b", 0.5, "other")]), undefined);
    assert.equal(shares.medianShareOf(PAGES, [upstream("a", 0.6), upstream("b", 0.78), upstream("c", 0.8)]), 0.78);
    shares.recordOwn(ownRecord("this", [upstream("me", 0.5)]));
    assert.equal(shares.medianShareOf(PAGES, []), undefined);
    shares.recordOwn(ownRecord("earlier", [upstream("me", 0.72)]));
    assert.equal(shares.medianShareOf(PAGES, []), 0.72);
});

test("learned shares: are published in records, at most once per interval and only after a clear change", () => {
    const learned: Record<string, number> = {};
    const shares = createShares(learned);
    const local = [upstream("me")];
    shares.setPublished(local, []);
    assert.deepEqual(shares.withShares(local), local);
    assert.equal(shares.isDue(local, [], 0), false);
    learned["me"] = 14 / 18;
    assert.equal(shares.isDue(local, [], 0), true);
    shares.setPublished(local, []);
    assert.equal(shares.withShares(local)[0]!.limitShare, 0.78);
    learned["me"] = 15 / 18;
    assert.equal(shares.isDue(local, [], 60_000), false);
    learned["me"] = 10 / 18;
    assert.equal(shares.isDue(local, [], 4000), false);
    assert.equal(shares.isDue(local, [], 60_000), true);
});

test("learned shares: a share that others publish is not published as new, and is adopted where none is learned", () => {
    const learned: Record<string, number> = { me: 14 / 18 };
    const shares = createShares(learned);
    const others = [upstream("a", 0.78)];
    assert.equal(shares.isDue([upstream("me")], others, 0), false);
    assert.equal(shares.isDue([upstream("me")], [upstream("a", 0.5)], 0), true);
    const emptyShares = createShares({});
    emptyShares.setPublished([upstream("me")], others);
    assert.equal(emptyShares.withShares([upstream("me")])[0]!.limitShare, 0.78);
});

test("learned shares: reading the record does not count as publishing", () => {
    const learned: Record<string, number> = {};
    const shares = createShares(learned);
    const local = [upstream("me")];
    learned["me"] = 14 / 18;
    shares.withShares(local);
    assert.equal(shares.isDue(local, [], 0), true);
});
