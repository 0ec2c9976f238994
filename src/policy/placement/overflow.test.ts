import assert from "node:assert/strict";
import { test } from "node:test";
import { seededRandom } from "../../../standin/seededrandom.js";
import { Overflow } from "./overflow.js";

const ownHall = { sameHall: true, sameRegion: true };
const otherHall = { sameHall: false, sameRegion: true };
const otherRegion = { sameHall: false, sameRegion: false };
const all = [ownHall, otherHall, otherRegion];
const light = { bodyBytes: 100, mayLeaveRegion: true, isRegionFull: false };

/** Records attempts at 2 a second until `now`, of which `refused` of 10 are refused. */
const recordUntil = (overflow: Overflow, place: typeof ownHall, refused: number, now: number): void => {
    for (let index = 0; index < 40; index++) {
        overflow.record(place, index * refused % 10 < refused, now - (40 - index) * 500);
    }
};

const sharesOf = (overflow: Overflow, now: number, request = light): { region: number; hall: number; } => {
    const random = seededRandom(1);
    const selected = Array.from({ length: 1000 }, () => overflow.select(all, request, now, random));
    const shareOf = (place: typeof ownHall): number =>
        selected.filter(targets => targets.length === 1 && targets[0] === place).length / selected.length;
    return { region: shareOf(otherRegion), hall: shareOf(otherHall) };
};

test("overflow: requests stay while few attempts are refused, without a random number", () => {
    const overflow = new Overflow();
    recordUntil(overflow, ownHall, 1, 20_000);
    const failing = (): number => assert.fail("a random number was used");
    assert.equal(overflow.select(all, light, 20_000, failing), all);
});

test("overflow: a hall that refuses more than the rest of the region is left by a share, and the region is not", () => {
    const overflow = new Overflow();
    recordUntil(overflow, ownHall, 5, 20_000);
    recordUntil(overflow, otherHall, 0, 20_000);
    const { hall, region } = sharesOf(overflow, 20_000);
    assert.ok(hall > 0.2 && hall < 0.95, `${hall}`);
    assert.equal(region, 0);
    assert.deepEqual(sharesOf(overflow, 60_000), { region: 0, hall: 0 }, "refusals are forgotten");
});

test("overflow: a region that refuses most attempts is left by a share, unless the others refuse as many", () => {
    const overflow = new Overflow();
    recordUntil(overflow, ownHall, 10, 20_000);
    const { region } = sharesOf(overflow, 20_000);
    assert.ok(region > 0.5 && region <= 0.92, `${region}`);
    recordUntil(overflow, otherRegion, 10, 20_000);
    assert.equal(sharesOf(overflow, 20_000).region, 0);
});

test("overflow: a long body and a request that must stay do not leave by the share", () => {
    const overflow = new Overflow();
    recordUntil(overflow, ownHall, 10, 20_000);
    assert.equal(sharesOf(overflow, 20_000, { ...light, bodyBytes: 60_000 }).region, 0);
    assert.equal(sharesOf(overflow, 20_000, { ...light, mayLeaveRegion: false }).region, 0);
    const full = { ...light, bodyBytes: 60_000, isRegionFull: true };
    assert.equal(sharesOf(overflow, 20_000, full).region, 1, "after the region refused it as full");
});
