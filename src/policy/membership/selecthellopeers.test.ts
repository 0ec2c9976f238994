import assert from "node:assert/strict";
import { test } from "node:test";
import { seededRandom } from "../../../standin/seededrandom.js";
import type { RegionName } from "../../ids/regionname.js";
import { sample } from "../placement/sample.js";
import { selectHelloPeers } from "./selecthellopeers.js";

const north = "north" as RegionName;
const south = "south" as RegionName;
const peersIn = (region: RegionName, count: number): { region: RegionName; index: number; }[] =>
    Array.from({ length: count }, (_, index) => ({ region, index }));

// Guards against hellos to random peers that cross the link between regions once per daemon and more: at 81 daemons,
// 55 of 108 a second did.
test("hello peers: one of four is in another region, and in time each peer there gets one", () => {
    const random = seededRandom(1);
    const peers = [...peersIn(north, 40), ...peersIn(south, 41)];
    const rounds = Array.from({ length: 400 }, () => selectHelloPeers(peers, { region: north, fanout: 4 }, random));
    rounds.forEach(round => {
        assert.equal(round.length, 4);
        assert.equal(round.filter(({ region }) => region === south).length, 1);
    });
    assert.equal(new Set(rounds.flat()).size, 81);
});

test("hello peers: within one region, and for a daemon that is alone in its region, all are chosen at random", () => {
    const peers = peersIn(south, 10);
    for (const region of [north, south]) {
        assert.deepEqual(
            selectHelloPeers(peers, { region, fanout: 4 }, seededRandom(5)),
            sample(peers, 4, seededRandom(5)),
        );
    }
    assert.equal(
        selectHelloPeers([...peersIn(north, 1), ...peers], { region: north, fanout: 4 }, seededRandom(5)).length,
        2,
    );
});
