/**
 * Tests in a simulation where requests go if halls have unequal demand or few upstreams.
 *
 * The load is that of a mesh of 81 hosts in four halls of two regions with 43, 31 and 7 upstreams of 4 slots; the
 * demand of each hall swings by 55 % over 15 s, one hall after another. Bounds leave room for the differences between
 * seeds.
 */
import assert from "node:assert/strict";
import { test } from "node:test";
import { seededRandom } from "../../../standin/seededrandom.js";
import { runUnevenHalls } from "./unevenhalls.js";
import type { UnevenHallsOptions } from "./unevenhallsoptions.js";
import type { UnevenHallsTally } from "./unevenhallstally.js";

const SEEDS = [1, 2];
const SPLIT_SHARE = 0.3;
const TIMES = { priority: "normal", targetMs: 1034, timeLimitMs: 2000 } as const;
const CLASSES: UnevenHallsOptions["classes"] = [
    { ...TIMES, name: "read", service: "a", perSecond: 173, workMs: 181 },
    {
        ...TIMES,
        name: "write",
        service: "a",
        perSecond: 70,
        workMs: 238,
        split: { service: "b", share: SPLIT_SHARE },
    },
    { ...TIMES, name: "upload", service: "c", perSecond: 15, workMs: 210 },
];
const UPSTREAMS = { a: [11, 11, 11, 10], b: [8, 8, 8, 7], c: [2, 2, 2, 1] };

type Change = (count: number, hall: number) => number;

const run = (seed: number, load: number, change: Change = count => count): UnevenHallsTally =>
    runUnevenHalls({
        lengthMs: 30_000,
        services: Object.entries(UPSTREAMS).map(([name, counts]) => ({ name, upstreamsByHall: counts.map(change) })),
        classes: CLASSES.map(kind => ({ ...kind, perSecond: kind.perSecond * load })),
    }, seededRandom(seed));

/** Returns the number of attempts from halls of the region to the hall. */
const attemptsFrom = ({ byHall }: UnevenHallsTally, region: number, hall: number): number =>
    byHall[region * 2]![hall]! + byHall[region * 2 + 1]![hall]!;

const check = (change: Change, load: number, verify: (tally: UnevenHallsTally, text: string) => void): void =>
    SEEDS.forEach(seed => {
        const tally = run(seed, load, change);
        verify(tally, JSON.stringify({ seed, ...tally }));
    });

const FEW = 2;

/**
 * Asserts that the counts follow a slow swing. Ingresses that leave and return all together would change them by most
 * of the largest count within a second.
 */
const assertFollowsSwing = (bySecond: readonly number[], text: string): void => {
    const max = Math.max(...bySecond);
    bySecond.slice(1).forEach((count, index) => assert.ok(Math.abs(count - bySecond[index]!) < 0.65 * max, text));
    assert.ok(Math.min(...bySecond.slice(5)) < 0.4 * max, text);
};

test("uneven halls: at the usual load each hall serves its own swing, with at most 1.1 placements a request", () => {
    check(count => count, 1, ({ requests, inTime, placements, byHall, crossings }, text) => {
        assert.ok(inTime > 0.995 * requests, text);
        assert.ok(placements < 1.1 * requests, text);
        assert.ok(crossings < 0.001 * requests, text);
        byHall.forEach((row, hall) => assert.ok(row[hall]! > 0.95 * row.reduce((sum, count) => sum + count), text));
    });
});

test("uneven halls: a weighted split keeps its shares", () => {
    check((count, hall) => hall === 0 ? FEW : count, 1, ({ byService }, text) => {
        const { perSecond } = CLASSES[1]!;
        const expected = perSecond * SPLIT_SHARE / (CLASSES[0]!.perSecond + perSecond);
        const share = byService.get("b")! / (byService.get("a")! + byService.get("b")!);
        assert.ok(Math.abs(share - expected) < 0.01, text);
    });
});

// Guards against requests that stay in a full hall because old reports show its upstreams as idle: 1.30 placements a
// request before halls counted refusals. The halls of the region that serve the overflow are half used, so that a sixth
// of the first attempts meets four running requests; hence the bound above 1.1.
test("uneven halls: the overflow of a hall with few or no upstreams stays in the region", () => {
    for (const upstreams of [0, FEW]) {
        check(
            (count, hall) => hall === 0 ? upstreams : count,
            1,
            ({ requests, inTime, placements, crossings }, text) => {
                assert.ok(inTime > 0.99 * requests, text);
                assert.ok(placements < 1.25 * requests, text);
                assert.ok(crossings < 0.01 * requests, text);
            },
        );
    }
});

// Guards against a full region whose requests are refused while another one has free slots: 14 % of all were.
test("uneven halls: a region with few upstreams sends its overflow to the halls of the other one by their capacity", () => {
    check((count, hall) => hall < 2 ? FEW : count, 1, (tally, text) => {
        const { requests, inTime, crossings, placements, crossingsBySecond } = tally;
        assertFollowsSwing(crossingsBySecond.slice(0, 30), text);
        assert.ok(inTime > 0.98 * requests, text);
        assert.ok(placements < 1.6 * requests, text);
        assert.ok(crossings > 0.1 * requests && crossings < 0.3 * requests, text);
        const ratio = attemptsFrom(tally, 0, 2) / attemptsFrom(tally, 0, 3);
        assert.ok(ratio > 0.85 && ratio < 1.45, text);
        assert.ok(attemptsFrom(tally, 1, 0) + attemptsFrom(tally, 1, 1) < 0.01 * requests, "none goes the other way");
    });
});

test("uneven halls: at three times the load the swing of a region is served across, few requests cross", () => {
    check(count => count, 3, ({ requests, inTime, crossings, placements }, text) => {
        assert.ok(inTime > 0.97 * requests, text);
        assert.ok(crossings < 0.12 * placements, text);
    });
});

test("uneven halls: a region without upstreams is served by the other one", () => {
    check((count, hall) => hall < 2 ? 0 : count, 1, ({ requests, inTime, placements }, text) => {
        assert.ok(inTime > 0.99 * requests, text);
        assert.ok(placements < 1.3 * requests, text);
    });
});
