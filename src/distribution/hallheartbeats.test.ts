import assert from "node:assert/strict";
import { test } from "node:test";
import type { Message } from "../datagram/message.js";
import { Evacuations } from "../evacuation/evacuations.js";
import type { Address } from "../ids/address.js";
import type { HallName } from "../ids/hallname.js";
import type { Incarnation } from "../ids/incarnation.js";
import { Metrics } from "../metrics/metrics.js";
import type { RecordsPosition } from "../wire/recordsposition.js";
import { CurrentConfiguration } from "./currentconfiguration.js";
import type { DaemonLocation } from "./daemonlocation.js";
import { HallHeartbeats } from "./hallheartbeats.js";
import { rank } from "./rank.js";
import { StoreWatch } from "./storewatch.js";
import { WatcherElection } from "./watcherelection.js";
import type { WatchScope } from "./watchscope.js";

const HALL = "a" as HallName;
const TICK_MS = 50;
const INCARNATION = "incarnation" as Incarnation;

class FakeWatch extends StoreWatch {
    scope: WatchScope = "nothing";
    records: RecordsPosition | undefined = { life: INCARNATION, at: 1 };
    isReachable = true;
    readonly followedWatchers: string[] = [];

    setScope(scope: WatchScope): void {
        this.scope = scope;
    }

    isStoreReachable(): boolean {
        return this.isReachable;
    }

    follow(watcher: Address): void {
        this.followedWatchers.push(watcher);
    }
}

const locations: readonly DaemonLocation[] = [
    ...Array.from({ length: 8 }, (_, index) => ({ gate: `10.0.0.${index}:1` as Address, hall: HALL })),
    ...Array.from({ length: 4 }, (_, index) => ({ gate: `10.0.1.${index}:1` as Address, hall: "b" as HallName })),
];
const rankedMembers = rank(locations.filter(location => location.hall === HALL).map(location => location.gate), HALL);

type TestWithTimers = { mock: { timers: { enable(): void; tick(ms: number): void; }; }; };

/** Creates the daemon of hall `a` at the given index in rank; `advance` moves its clock. */
const createDaemon = (t: TestWithTimers, rankIndex: number) => {
    t.mock.timers.enable();
    let now = 0;
    const watch = new FakeWatch();
    const sent: { readonly to: Address; readonly message: Message; }[] = [];
    const heartbeats = new HallHeartbeats({
        self: rankedMembers[rankIndex]!,
        hall: HALL,
        host: "h" as never,
        clock: () => now,
        random: () => 0,
        configuration: new CurrentConfiguration(),
        metrics: new Metrics(),
        puller: { pull: async () => {} } as never,
        election: new WatcherElection(rankedMembers[rankIndex]!, 0),
        watch,
        locations: () => locations,
        leavingHosts: { names: [], refresh: async () => {} } as never,
        send: (to, message) => sent.push({ to, message }) > 0,
        onScopeChange: () => {},
        onHostLeaving: () => {},
        crashDigest: () => undefined,
        suspectDigest: () => undefined,
        onCrashDigest: () => {},
        evacuations: new Evacuations(),
    });
    heartbeats.updateMembers();
    heartbeats.start();
    const advance = (ms: number): void => {
        for (const until = now + ms; now < until;) {
            now += TICK_MS;
            t.mock.timers.tick(TICK_MS);
        }
    };
    const deliver = (senderIndex: number, overrides: object = {}): void =>
        heartbeats.receive({
            type: "beat",
            from: rankedMembers[senderIndex]!,
            revision: 0,
            ageMs: 0,
            watching: true,
            leaving: [],
            records: { life: INCARNATION, at: 5 },
            ...overrides,
        });
    return { watch, sent, advance, deliver, stop: () => heartbeats.stop() };
};

test("heartbeats: each of two watchers notifies its followers at once of changes in the list of daemons", t => {
    const first = createDaemon(t as never, 0);
    first.advance(200);
    first.deliver(1);
    first.advance(2000);
    first.sent.length = 0;
    first.watch.records = { life: INCARNATION, at: 2 };
    first.advance(TICK_MS);
    const notified = first.sent.map(({ to }) => to);
    const followers = rankedMembers.filter((_, index) => index % 2 === 0 && index > 0);
    followers.forEach(gate => assert.ok(notified.includes(gate), `${gate} is notified`));
    assert.ok(
        rankedMembers.filter((_, index) => index % 2 === 1).some(gate => !notified.includes(gate)),
        "the rest of the hall is left to the other watcher",
    );
    first.stop();
});

test("heartbeats: a follower changes to the other watcher when its own one is unresponsive", t => {
    const third = createDaemon(t as never, 2);
    third.deliver(0);
    third.deliver(1);
    assert.deepEqual(third.watch.followedWatchers, [rankedMembers[0]]);
    third.watch.isReachable = false;
    for (let round = 0; round < 4; round++) {
        third.advance(2000);
        third.deliver(1);
    }
    assert.equal(third.watch.followedWatchers.at(-1), rankedMembers[1]);
    assert.equal(third.watch.scope, "nothing", "the store does not respond to this daemon");
    third.watch.isReachable = true;
    third.advance(1000);
    assert.equal(third.watch.scope, "all", "a hall needs two watchers");
    third.stop();
});

test("heartbeats: a watcher with an unresponsive store reports that it does not watch, and follows another one", t => {
    const first = createDaemon(t as never, 0);
    first.watch.isReachable = false;
    first.advance(400);
    first.deliver(2);
    const reportedWatching = first.sent.flatMap(({ message }) => message.type === "beat" ? [message.watching] : []);
    assert.ok(reportedWatching.length > 0 && reportedWatching.every(watching => !watching));
    assert.deepEqual(first.watch.followedWatchers, [rankedMembers[2]]);
    first.stop();
});
