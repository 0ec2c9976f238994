import assert from "node:assert/strict";
import { test, type TestContext } from "node:test";
import { seededRandom } from "../../standin/seededrandom.js";
import { GossipFleet } from "../../test/gossipfleet.js";

const DAEMONS = 75;
const SEEDS = 20;
const STEP_MS = 10;
/** Interval of the hellos to random peers; the change comes at another time of the interval with each seed. */
const HELLO_INTERVAL_MS = 3000;
/** What is left of 2.5 s when the watchers of other halls have read and decoded a large change. */
const BOUND_MS = 1800;

/** Creates a fleet whose time advances with `advance`. */
const createFleet = (t: TestContext, seed: number) => {
    let now = 0;
    const fleet = new GossipFleet(DAEMONS, () => now, seededRandom(seed));
    const advance = (ms: number): void => {
        for (const until = now + ms; now < until;) {
            now += STEP_MS;
            t.mock.timers.tick(STEP_MS);
        }
    };
    return { fleet, advance };
};

// Guards against a hall in which a change is in force seconds late, because both of its watchers stopped just before, and
// nobody else announced it there.
test("revision gossip: a change reaches a hall without watchers in time", t => {
    t.mock.timers.enable({ apis: ["setTimeout", "setInterval"] });
    let lateCount = 0;
    for (let seed = 1; seed <= SEEDS; seed++) {
        const { fleet, advance } = createFleet(t, seed);
        const withoutWatchers = fleet.daemons.filter(({ member }) => member.hall === "a");
        withoutWatchers.slice(0, 2).forEach(daemon => daemon.isRunning = false);
        fleet.start();
        advance(HELLO_INTERVAL_MS + seed * HELLO_INTERVAL_MS / SEEDS);
        fleet.daemons.filter(({ member }) => member.hall !== "a").forEach(daemon => fleet.apply(daemon, 2));
        advance(BOUND_MS);
        lateCount += withoutWatchers.filter(({ isRunning, revision }) => isRunning && revision < 2).length;
        fleet.stop();
    }
    assert.equal(lateCount, 0, `late of ${SEEDS} fleets`);
});

// Guards against a daemon that serves for seconds by the stale configuration that it has read at its start.
test("revision gossip: a daemon that starts with an older revision has the newest one within a second", t => {
    t.mock.timers.enable({ apis: ["setTimeout", "setInterval"] });
    const { fleet, advance } = createFleet(t, 1);
    const [started, ...others] = fleet.daemons;
    others.forEach(daemon => daemon.revision = 2);
    started!.gossip.start();
    advance(1000);
    assert.equal(started!.revision, 2);
    fleet.stop();
});
