import fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import { CrashFleet } from "../../test/crashfleet.js";
import type { Incarnation } from "../ids/incarnation.js";
import type { RequestKey } from "../ids/requestkey.js";
import { sleep } from "../time/sleep.js";
import { CrashSpread } from "./crashspread.js";

const bad = "bad" as RequestKey;
const proper = "proper" as RequestKey;
const { address, crashAt } = CrashFleet;

type Daemon = CrashFleet["daemons"][number];

test("crash spread: what goes over grows with the crashes, not with all that is known", async () => {
    const size = 40;
    const requests = 8;
    const crashes = 20;
    const fleet = new CrashFleet(size, () => false);
    const { daemons } = fleet;
    for (let crash = 0; crash < crashes; crash++) {
        const underWay = Array.from({ length: requests }, (_, at) => `${crash}-${at}` as RequestKey);
        crashAt(daemons[crash]!, crash, underWay);
        for (let round = 0; round < 2; round++) {
            daemons.forEach(({ spread }) => spread.compareMarks(address(0), daemons[0]!.guard.mark));
            await sleep(1);
        }
        assert.equal(new Set(daemons.map(({ guard }) => guard.mark)).size, 1);
    }
    assert.ok(fleet.told <= 2 * size * crashes * requests, `${fleet.told} records`);
});

test("crash spread: what is cleared on hearing of it, the one who told it gets to know", async () => {
    const [one, two] = new CrashFleet(2, () => false).daemons as [Daemon, Daemon];
    one.served.add(proper);
    [1, 2, 3].forEach(at => crashAt(two, at, [proper]));
    for (let round = 0; round < 2; round++) {
        one.spread.compareMarks(address(1), two.guard.mark);
        await sleep(1);
    }
    assert.equal(two.guard.standing(proper), "free");
});

test("crash spread: a peer that has started anew is told all again", async () => {
    const [one, two, again] = new CrashFleet(3, () => false).daemons as [Daemon, Daemon, Daemon];
    let other = two;
    const spread = new CrashSpread({
        self: address(0),
        life: "life" as Incarnation,
        guard: one.guard,
        random: () => 0,
        peers: () => [],
        relays: () => [],
        siblings: () => [],
        send: () => true,
        exchange: async (_peer, changes) => other.spread.answer(changes),
    });
    const compare = async (): Promise<void> => {
        spread.compareMarks(address(1), other.guard.mark);
        await sleep(1);
    };
    [1, 2, 3].forEach(at => crashAt(one, at, [bad]));
    await compare();
    assert.equal(two.guard.standing(bad), "quarantined");
    other = again;
    await compare();
    await compare();
    assert.equal(again.guard.standing(bad), "quarantined");
});

const SIZE = 4;
const REQUESTS = ["r0", "r1", "r2"] as RequestKey[];
const daemonAndRequest = { at: fc.nat(SIZE - 1), request: fc.constantFrom(...REQUESTS) };
const step = fc.oneof(
    fc.record({ type: fc.constant("crash" as const), ...daemonAndRequest }),
    fc.record({ type: fc.constant("serve" as const), ...daemonAndRequest }),
    fc.record({ type: fc.constant("start-again" as const), ...daemonAndRequest }),
    fc.record({ type: fc.constant("compare" as const), ...daemonAndRequest, to: fc.nat(SIZE - 1) }),
);

test("crash spread: whatever came before, four rounds of one daemon's heartbeats bring all together", async () => {
    await fc.assert(
        fc.asyncProperty(fc.array(step, { maxLength: 25 }), fc.array(fc.boolean()), async (steps, carried) => {
            let sent = 0;
            const fleet = new CrashFleet(SIZE, () => carried[sent++ % carried.length] ?? false);
            const { daemons } = fleet;
            const compare = async (at: number, to: number): Promise<void> => {
                daemons[at]!.spread.compareMarks(address(to), daemons[to]!.guard.mark);
                await new Promise(resolve => setImmediate(resolve));
            };
            for (const [crash, next] of steps.entries()) {
                const { guard, served } = daemons[next.at]!;
                if (next.type === "crash") {
                    crashAt(daemons[next.at]!, crash, [next.request]);
                }
                else if (next.type === "serve") {
                    served.add(next.request);
                    guard.recordServed(next.request);
                }
                else if (next.type === "start-again") {
                    fleet.startAgain(next.at);
                }
                else {
                    await compare(next.at, next.to);
                }
            }
            // All crashes have come to it after one, all daemons know them after two, what they clear then has come after three.
            for (let round = 0; round < 4; round++) {
                for (let at = 1; at < SIZE; at++) {
                    await compare(at, 0);
                }
            }
            assert.equal(new Set(daemons.map(({ guard }) => guard.mark)).size, 1);
            const standings = REQUESTS.map(request =>
                new Set(daemons.map(({ guard }) => guard.standing(request))).size
            );
            assert.deepEqual(standings, [1, 1, 1]);
        }),
        { seed: 34, numRuns: 500 },
    );
});
