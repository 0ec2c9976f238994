import assert from "node:assert/strict";
import { test } from "node:test";
import { seededRandom } from "../../standin/seededrandom.js";
import { ExpectedTime } from "../policy/placement/expectedtime.js";
import { Overflow } from "../policy/placement/overflow.js";
import { RegionRoundTrips } from "../policy/placement/regionroundtrips.js";
import { TargetSelector } from "./targetselector.js";
import { UpstreamStatements } from "./upstreamstatements.js";
import { UpstreamView } from "./upstreamview.js";

const NOW = 10_000;

/** Returns the view of an upstream; those at home are in region north, and those that are busy have a long queue. */
const view = (name: string, region: string, isBusy = false): UpstreamView => {
    const settings = { name, service: "s", gate: "127.0.0.1:1", hall: region, region, slots: 4, draining: false };
    const created = new UpstreamView(settings as never, {
        hop: undefined as never,
        sameHall: region === "north",
        sameRegion: region === "north",
        local: false,
        isEvacuated: () => false,
        statements: new UpstreamStatements(),
        regionRoundTrips: new RegionRoundTrips(),
        onSent: () => {},
    });
    created.recordReport({ running: 4, waiting: isBusy ? 60 : 0, limit: 4, serviceMs: 50, baseMs: 50 }, NOW);
    return created;
};

type Request = {
    depth?: number;
    bodyBytes?: number;
    regions?: string[];
    ruleRegions?: string[];
    allowsCrossing?: boolean;
};

const selectorOf = (
    views: readonly UpstreamView[],
    { depth = 0, bodyBytes = 0, regions, ruleRegions, allowsCrossing = true }: Request = {},
    tried: ReadonlySet<UpstreamView> = new Set(),
    overflow = new Overflow(),
): TargetSelector =>
    new TargetSelector(
        {
            clock: () => NOW,
            random: seededRandom(1),
            placement: new ExpectedTime(),
            daemonCount: () => 1,
            allowsCrossing: () => allowsCrossing,
            upstreams: { ofService: () => views, overflow: () => overflow },
        } as never,
        {
            plan: () => ({ depth, regions, rule: { regions: ruleRegions }, service: { name: "s" } }) as never,
            bodyBytes,
            tried,
        },
    );

/** Returns the reason with which a request is refused that is proven not to have run. */
const reasonOf = ({ unplacedResult: result }: TargetSelector): string | undefined =>
    result.outcome === "not-run" ? result.reason : undefined;

const busyHome = view("h0", "north", true);
const busyHome2 = view("h1", "north", true);
const south = view("s0", "south");
const south2 = view("s1", "south");
const all = [busyHome, busyHome2, south, south2];

test("selector: a request crosses to another region, a call of a running request and a hedge stay", () => {
    assert.equal(selectorOf(all).choose(undefined)?.region, "south");
    assert.equal(selectorOf(all, { depth: 1 }).choose(undefined)?.region, "north");
    assert.equal(selectorOf(all, { depth: 1 }).choose("s0")?.region, "north", "an offered slot elsewhere is not used");
    assert.equal(selectorOf(all).chooseForHedge()?.region, "north");
    assert.equal(selectorOf(all, { depth: 1 }, new Set([busyHome])).choose(undefined), busyHome2);
});

test("selector: calls and hedges cross if no upstream in the region is available", () => {
    const suspected = view("h2", "north");
    suspected.suspect(NOW);
    assert.equal(selectorOf([suspected, south], { depth: 1 }).choose(undefined), south);
    assert.equal(selectorOf([suspected, south]).chooseForHedge(), south);
});

// Guards against a body that is sent across regions again after it was refused there.
test("selector: a request whose body was refused in another region is not sent there again", () => {
    const tried = new Set([south]);
    assert.equal(selectorOf(all, { bodyBytes: 100 }, tried).choose(undefined)?.region, "north");
    assert.equal(selectorOf(all, { bodyBytes: 0 }, tried).choose(undefined), south2);
});

// Guards against a busy gate that redirects a request because of upstreams in another region, which then send it back.
test("selector: only upstreams in the region of the target count as choices of its gate", () => {
    assert.deepEqual(selectorOf(all, {}, new Set([busyHome])).untried(busyHome), [busyHome2]);
    assert.deepEqual(selectorOf(all, {}, new Set([busyHome, busyHome2])).untried(busyHome2), []);
    assert.deepEqual(selectorOf(all, {}, new Set([south])).untried(south), [south2]);
});

// Guards against a body that leaves the regions that the rule or the team allows, on a first attempt, a retry, a hedge
// or a redirect to an offered slot.
test("selector: a request with regions is sent to no other region, whatever a gate offers", () => {
    for (const request of [{ regions: ["north"] }, { ruleRegions: ["north"] }]) {
        assert.equal(selectorOf(all, request).choose(undefined)?.region, "north");
        assert.equal(selectorOf(all, request).choose("s0")?.region, "north");
        assert.equal(selectorOf(all, request).chooseForHedge()?.region, "north");
        assert.equal(selectorOf(all, request, new Set([busyHome, busyHome2])).choose(undefined)?.region, "north");
        assert.deepEqual(selectorOf(all, request, new Set([south])).untried(south), []);
    }
    assert.equal(selectorOf(all, { regions: ["south"], depth: 1 }).choose(undefined)?.region, "south");
    assert.equal(selectorOf([view("h3", "north"), south], { regions: ["south"] }).chooseForHedge(), south);
    assert.equal(selectorOf(all).choose("s0"), south, "without regions an offer is taken");
});

test("selector: a request is refused at once if no upstream in its regions can serve it", () => {
    const cutOff = view("s2", "south");
    cutOff.suspect(NOW);
    const selector = selectorOf([busyHome, cutOff], { regions: ["south"] });
    assert.equal(selector.choose(undefined), undefined);
    assert.deepEqual([reasonOf(selector), reasonOf(selectorOf([]))], ["region-unavailable", "no-upstream"]);
    assert.equal(selectorOf([busyHome, cutOff], { regions: ["south", "north"] }).choose(undefined), busyHome);
});

test("selector: above the bound on what crosses, requests stay in the region or are refused at once", () => {
    const held = { allowsCrossing: false };
    assert.equal(selectorOf(all, held).choose(undefined)?.region, "north");
    assert.equal(selectorOf(all, held).choose("s0")?.region, "north");
    const selector = selectorOf([south, south2], held);
    assert.equal(selector.choose(undefined), undefined);
    assert.equal(reasonOf(selector), "crossing-limit");
});

test("selector: a request that the region refused as full crosses, one that a gate only redirected stays", () => {
    const home = [view("h0", "north"), view("h1", "north"), south];
    const tried = new Set([home[0]!]);
    const selector = selectorOf(home, {}, tried);
    selector.record(home[0]!, { outcome: "not-run", reason: "busy" });
    assert.equal(selector.choose(undefined), home[1]);
    selector.record(home[0]!, { outcome: "not-run", reason: "wait-too-long" });
    assert.equal(selector.choose(undefined), south);
    const call = selectorOf(home, { depth: 1 }, tried);
    call.record(home[0]!, { outcome: "not-run", reason: "wait-too-long" });
    assert.equal(call.choose(undefined), home[1]);
});

// Guards against probes of slow upstreams that cross regions, also while requests leave the region on overflow.
test("selector: an old report of a slow upstream in another region is not renewed from here", () => {
    const slowAcross = view("s9", "south");
    const report = { running: 0, waiting: 0, limit: 4, serviceMs: 900, baseMs: 900 };
    slowAcross.recordReport(report, -1_000_000);
    const slowAtHome = view("h9", "north");
    slowAtHome.recordReport(report, -1_000_000);
    const home = [view("h0", "north"), view("h1", "north"), view("h2", "north")];
    assert.equal(selectorOf([...home, slowAtHome, south, south2]).choose(undefined), slowAtHome);
    assert.equal(selectorOf([...home, slowAcross, south, south2]).choose(undefined)?.region, "north");
    const full = selectorOf([...home, slowAcross, south, south2], {}, new Set(home.slice(0, 1)));
    full.record(home[0]!, { outcome: "not-run", reason: "wait-too-long" });
    assert.notEqual(full.choose(undefined), slowAcross);
});
