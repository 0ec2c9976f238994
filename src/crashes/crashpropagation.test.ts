import fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import { CrashFleet } from "../../test/crashfleet.js";
import type { Incarnation } from "../ids/incarnation.js";
import type { RequestKey } from "../ids/requestkey.js";
import { sleep } from "../time/sleep.js";
import { CrashPropagation } from "./crashpropagation.js";

const crashing = "crashing" as RequestKey;
const harmless = "harmless" as RequestKey;
const { address, recordCrash } = CrashFleet;

type Daemon = CrashFleet["daemons"][number];

test("crash propagation: the number of exchanged records grows with new crashes, not with all records", async () => {
    const size = 40;
    const requests = 8;
    const crashes = 20;
    const fleet = new CrashFleet(size, () => false);
    const { daemons } = fleet;
    for (let crash = 0; crash < crashes; crash++) {
        const inProgress = Array.from({ length: requests }, (_, index) => `${crash}-${index}` as RequestKey);
        recordCrash(daemons[crash]!, crash, inProgress);
        for (let round = 0; round < 2; round++) {
            daemons.forEach(({ propagation }) => propagation.compareDigests(address(0), daemons[0]!.guard.digest));
            await sleep(1);
        }
        assert.equal(new Set(daemons.map(({ guard }) => guard.digest)).size, 1);
    }
    assert.ok(fleet.exchangedRecordCount <= 2 * size * crashes * requests, `${fleet.exchangedRecordCount} records`);
});

test("crash propagation: a request that the receiver of a record clears is cleared at the sender, too", async () => {
    const [one, two] = new CrashFleet(2, () => false).daemons as [Daemon, Daemon];
    one.served.add(harmless);
    [1, 2, 3].forEach(number => recordCrash(two, number, [harmless]));
    for (let round = 0; round < 2; round++) {
        one.propagation.compareDigests(address(1), two.guard.digest);
        await sleep(1);
    }
    assert.equal(two.guard.statusOf(harmless), "free");
});

test("crash propagation: a peer that has restarted receives all records again", async () => {
    const [one, two, restarted] = new CrashFleet(3, () => false).daemons as [Daemon, Daemon, Daemon];
    let peer = two;
    const propagation = new CrashPropagation({
        self: address(0),
        incarnation: "incarnation" as Incarnation,
        guard: one.guard,
        random: () => 0,
        members: () => [],
        relays: () => [],
        siblings: () => [],
        send: () => true,
        exchange: async (_peer, changes) => peer.propagation.handleExchange(changes),
    });
    const compare = async (): Promise<void> => {
        propagation.compareDigests(address(1), peer.guard.digest);
        await sleep(1);
    };
    [1, 2, 3].forEach(number => recordCrash(one, number, [crashing]));
    await compare();
    assert.equal(two.guard.statusOf(crashing), "quarantined");
    peer = restarted;
    await compare();
    await compare();
    assert.equal(restarted.guard.statusOf(crashing), "quarantined");
});

const DAEMON_COUNT = 4;
const REQUESTS = ["r0", "r1", "r2"] as RequestKey[];
const daemonAndRequest = { daemon: fc.nat(DAEMON_COUNT - 1), request: fc.constantFrom(...REQUESTS) };
const eventArbitrary = fc.oneof(
    fc.record({ type: fc.constant("crash" as const), ...daemonAndRequest }),
    fc.record({ type: fc.constant("serve" as const), ...daemonAndRequest }),
    fc.record({ type: fc.constant("restart" as const), ...daemonAndRequest }),
    fc.record({ type: fc.constant("compare" as const), ...daemonAndRequest, to: fc.nat(DAEMON_COUNT - 1) }),
);

test("crash propagation: after any events, four rounds of one daemon's heartbeats make all records equal", async () => {
    await fc.assert(
        fc.asyncProperty(
            fc.array(eventArbitrary, { maxLength: 25 }),
            fc.array(fc.boolean()),
            async (events, delivered) => {
                let sentCount = 0;
                const fleet = new CrashFleet(DAEMON_COUNT, () => delivered[sentCount++ % delivered.length] ?? false);
                const { daemons } = fleet;
                const compare = async (from: number, to: number): Promise<void> => {
                    daemons[from]!.propagation.compareDigests(address(to), daemons[to]!.guard.digest);
                    await new Promise(resolve => setImmediate(resolve));
                };
                for (const [crash, event] of events.entries()) {
                    const { guard, served } = daemons[event.daemon]!;
                    if (event.type === "crash") {
                        recordCrash(daemons[event.daemon]!, crash, [event.request]);
                    }
                    else if (event.type === "serve") {
                        served.add(event.request);
                        guard.recordServed(event.request);
                    }
                    else if (event.type === "restart") {
                        fleet.restart(event.daemon);
                    }
                    else {
                        await compare(event.daemon, event.to);
                    }
                }
                // Daemon 0 has all crashes after the first round, and all daemons have them after the second. Daemon 0
                // then has all cleared requests after the third round, and all daemons have them after the fourth.
                for (let round = 0; round < 4; round++) {
                    for (let from = 1; from < DAEMON_COUNT; from++) {
                        await compare(from, 0);
                    }
                }
                assert.equal(new Set(daemons.map(({ guard }) => guard.digest)).size, 1);
                const statusCounts = REQUESTS.map(request =>
                    new Set(daemons.map(({ guard }) => guard.statusOf(request))).size
                );
                assert.deepEqual(statusCounts, [1, 1, 1]);
            },
        ),
        { seed: 34, numRuns: 500 },
    );
});
