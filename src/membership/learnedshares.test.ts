import assert from "node:assert/strict";
import { test } from "node:test";
import type { Incarnation } from "../ids/incarnation.js";
import type { ServiceName } from "../ids/servicename.js";
import type { HostedUpstream } from "../wire/hostedupstream.js";
import type { Member } from "../wire/member.js";
import { LearnedShares } from "./learnedshares.js";

const PAGES = "pages" as ServiceName;
const THIS_LIFE = "this" as Incarnation;

const upstream = (name: string, limitShare?: number, service = "pages"): HostedUpstream =>
    ({ name, service, address: "10.0.0.2:80", slots: 18, draining: false, limitShare }) as never;

const own = (incarnation: string, upstreams: HostedUpstream[]): Member => ({ incarnation, upstreams }) as never;

const sharesOf = (learnt: Record<string, number>): LearnedShares =>
    new LearnedShares({ incarnation: THIS_LIFE, learnedShare: name => learnt[name] });

test("learned shares: a service's is the middle of what others' records and the own earlier life say", () => {
    const shares = sharesOf({});
    assert.equal(shares.usual(PAGES, [upstream("a"), upstream("b", 0.5, "other")]), undefined);
    assert.equal(shares.usual(PAGES, [upstream("a", 0.6), upstream("b", 0.78), upstream("c", 0.8)]), 0.78);
    shares.recordOwn(own("this", [upstream("me", 0.5)]));
    assert.equal(shares.usual(PAGES, []), undefined);
    shares.recordOwn(own("earlier", [upstream("me", 0.72)]));
    assert.equal(shares.usual(PAGES, []), 0.72);
});

test("learned shares: records carry them, and a new record is worth it only for a clear change and now and then", () => {
    const learnt: Record<string, number> = {};
    const shares = sharesOf(learnt);
    const beside = [upstream("me")];
    shares.tell(beside, []);
    assert.deepEqual(shares.mark(beside), beside);
    assert.equal(shares.hasNews(beside, [], 0), false);
    learnt["me"] = 14 / 18;
    assert.equal(shares.hasNews(beside, [], 0), true);
    shares.tell(beside, []);
    assert.equal(shares.mark(beside)[0]!.limitShare, 0.78);
    learnt["me"] = 15 / 18;
    assert.equal(shares.hasNews(beside, [], 60_000), false);
    learnt["me"] = 10 / 18;
    assert.equal(shares.hasNews(beside, [], 4000), false);
    assert.equal(shares.hasNews(beside, [], 60_000), true);
});

test("learned shares: one gate of a service tells for all, and each record carries on what is known", () => {
    const learnt: Record<string, number> = { me: 14 / 18 };
    const shares = sharesOf(learnt);
    const others = [upstream("a", 0.78)];
    assert.equal(shares.hasNews([upstream("me")], others, 0), false);
    assert.equal(shares.hasNews([upstream("me")], [upstream("a", 0.5)], 0), true);
    const newcomer = sharesOf({});
    newcomer.tell([upstream("me")], others);
    assert.equal(newcomer.mark([upstream("me")])[0]!.limitShare, 0.78);
});

test("learned shares: reading the record tells nobody", () => {
    const learnt: Record<string, number> = {};
    const shares = sharesOf(learnt);
    const beside = [upstream("me")];
    learnt["me"] = 14 / 18;
    shares.mark(beside);
    assert.equal(shares.hasNews(beside, [], 0), true);
});
