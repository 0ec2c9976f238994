import assert from "node:assert/strict";
import { test } from "node:test";
import { seededRandom } from "../../../standin/seededrandom.js";
import type { HallName } from "../../ids/hallname.js";
import type { RegionName } from "../../ids/regionname.js";
import type { UpstreamName } from "../../ids/upstreamname.js";
import { allowedTargets } from "./allowedtargets.js";
import type { Availability } from "./availability.js";
import type { Candidate } from "./candidate.js";
import { ExpectedTime } from "./expectedtime.js";
import type { Regional } from "./regional.js";
import { RegionRoundTrips } from "./regionroundtrips.js";
import { RoundTrip } from "./roundtrip.js";
import { targetsAtHome } from "./targetsathome.js";

const SERVICE_MS = 181;
const CROSSING_MS = 60;
const NOW = 10_000;

/** Returns a candidate whose report arrived at this moment, with this many requests that run or wait. */
const candidate = (name: string, load: number, overrides: Partial<Candidate> = {}): Candidate => ({
    upstream: name as UpstreamName,
    slots: 4,
    sameHall: true,
    sameRegion: true,
    roundTripMs: 1,
    outstanding: 0,
    report: { running: Math.min(4, load), waiting: Math.max(0, load - 4), limit: 4, serviceMs: 181, baseMs: 181 },
    reportedAt: NOW,
    outstandingAtReport: 0,
    penaltyMs: 0,
    lastFailureAt: 0,
    ...overrides,
});

const across = { sameHall: false, sameRegion: false, roundTripMs: CROSSING_MS };

/** Returns two upstreams at home and 40 idle ones in another region. */
const regions = (loadAtHome: number): Candidate[] => [
    ...["h0", "h1"].map(name => candidate(name, loadAtHome)),
    ...Array.from({ length: 40 }, (_, index) => candidate(`r${index}`, 0, across)),
];

const crossings = (options: ConstructorParameters<typeof ExpectedTime>[0], load: number, bodyBytes = 0): number => {
    const placement = new ExpectedTime(options);
    const random = seededRandom(1);
    const chosen = Array.from({ length: 200 }, () => placement.choose(regions(load), NOW, random, { bodyBytes })!);
    return chosen.filter(({ sameRegion }) => !sameRegion).length;
};

// Guards against a large service elsewhere that dilutes the sample of the own region: of 42 upstreams, 40 are across,
// so that a sample of 4 from all of them would rarely hold one at home.
test("regions: requests stay at home while it has free slots, or while waiting there takes less than crossing", () => {
    assert.equal(crossings({}, 0), 0);
    assert.equal(crossings({}, 3), 0, "slots in use but none queued");
    assert.equal(crossings({}, 4), 0, "a quarter of a service time in the queue is less than the round trip");
});

test("regions: requests cross when the expected time across is clearly shorter, with the round trip and the costs", () => {
    const waitMs = SERVICE_MS * 5 / 4;
    assert.ok(waitMs > CROSSING_MS);
    assert.equal(crossings({}, 8), 200);
    assert.equal(crossings({ leaveHallCost: 1.5, leaveRegionCost: 3 }, 8), 0, "the costs of leaving count");
    assert.equal(crossings({ leaveHallCost: 1.5, leaveRegionCost: 3 }, 40), 200);
    assert.equal(crossings({}, 8, 360_000), 0, "the bytes of the body count");
});

test("regions: if no upstream is in the own region, the others are used", () => {
    const chosen = new ExpectedTime().choose([candidate("r", 0, across)], NOW, seededRandom(1));
    assert.equal(chosen?.upstream, "r");
});

// Guards against a change of placement where all upstreams are in one region; the expected choices were made before
// regions counted, at revision cd1785d.
test("regions: within one region the choices are the same as before regions counted", () => {
    const random = seededRandom(7);
    const candidates = Array.from({ length: 24 }, (_, index) =>
        candidate(`u${index}`, Math.floor(random() * 9), {
            sameHall: index % 3 === 0,
            roundTripMs: 1 + index % 3,
            outstanding: Math.floor(random() * 3),
            reportedAt: NOW - Math.floor(random() * 200),
            ...index % 5 === 0 && { report: undefined },
        }));
    const choicesWith = (options: ConstructorParameters<typeof ExpectedTime>[0]): string => {
        const placement = new ExpectedTime(options);
        return Array.from({ length: 24 }, () => placement.choose(candidates, NOW, random)!.upstream.slice(1)).join(" ");
    };
    assert.equal(choicesWith({}), "11 7 12 12 17 0 22 3 17 12 12 12 5 2 3 7 17 7 17 7 9 12 9 3");
    assert.equal(
        choicesWith({ leaveHallCost: 1.5, ownWeight: 3, loadFadeMs: 50 }),
        "15 15 0 3 9 21 15 21 12 3 18 0 3 0 0 0 15 0 18 21 3 3 0 3",
    );
});

// Guards against gates that were never contacted and count as 1 ms away: they attract requests across regions.
test("regions: the round trip to a gate without a response is estimated from its hall, then from its region", () => {
    const trips = new RegionRoundTrips();
    const place = (hall: string): { hall: HallName; region: RegionName; } => ({
        hall: hall as HallName,
        region: "south" as RegionName,
    });
    const roundTrip = (hall: string): RoundTrip =>
        new RoundTrip({
            estimateMs: () => trips.estimateMs(place(hall)),
            observe: ms => trips.observe(place(hall), ms),
        });
    assert.equal(roundTrip("a").ms, 100, "no gate of the region has responded");
    const first = roundTrip("a");
    first.observe(70, 10);
    assert.equal(Math.round(first.ms), 60);
    assert.equal(Math.round(roundTrip("a").ms), 60);
    roundTrip("b").observe(90, 10);
    assert.equal(Math.round(roundTrip("b").ms), 80, "its own hall precedes");
    assert.equal(Math.round(roundTrip("c").ms), 62, "the region as a whole");
    assert.equal(new RoundTrip().ms, 1, "in the own region");
});

const target = (region: string, availability: Availability = "available"): Regional => ({
    region: region as RegionName,
    sameRegion: region === "north",
    availability: () => availability,
    suspicion: { isSuspected: availability === "suspected" },
});

test("regions: only upstreams in every list of regions are allowed, and none across that does not respond", () => {
    const [north, south, cutOff] = [target("north"), target("south"), target("south", "suspected")];
    const all = [north, south, cutOff];
    const list = (...names: string[]): RegionName[] => names as RegionName[];
    assert.deepEqual(allowedTargets(all, [undefined, undefined]), all);
    assert.deepEqual(allowedTargets(all, [list("south"), undefined]), [south]);
    assert.deepEqual(allowedTargets(all, [list("south", "north"), list("north")]), [north]);
    assert.deepEqual(allowedTargets(all, [list("south"), list("north")]), []);
    assert.deepEqual(allowedTargets(all, [list()]), []);
});

test("regions: targets at home are the only ones while one of them is available", () => {
    const [north, full, south] = [target("north"), target("north", "full"), target("south")];
    assert.deepEqual(targetsAtHome([north, full, south], 0), [north, full]);
    assert.deepEqual(targetsAtHome([full, south], 0), [full, south]);
});
