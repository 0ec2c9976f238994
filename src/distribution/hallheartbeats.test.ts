import assert from "node:assert/strict";
import { test } from "node:test";
import type { Message } from "../datagram/message.js";
import { Evacuations } from "../evacuation/evacuations.js";
import type { Address } from "../ids/address.js";
import type { HallName } from "../ids/hallname.js";
import type { Incarnation } from "../ids/incarnation.js";
import type { RecordsMark } from "../wire/recordsmark.js";
import { CurrentConfiguration } from "./currentconfiguration.js";
import { HallHeartbeats } from "./hallheartbeats.js";
import type { Place } from "./place.js";
import { rank } from "./rank.js";
import { StoreWatch } from "./storewatch.js";
import { WatcherElection } from "./watcherelection.js";
import type { WatchScope } from "./watchscope.js";

const HALL = "a" as HallName;
const TICK_MS = 50;
const LIFE = "life" as Incarnation;

class FakeWatch extends StoreWatch {
    scope: WatchScope = "nothing";
    records: RecordsMark | undefined = { life: LIFE, at: 1 };
    reached = true;
    readonly followed: string[] = [];

    set(scope: WatchScope): void {
        this.scope = scope;
    }

    isReached(): boolean {
        return this.reached;
    }

    follow(watcher: Address): void {
        this.followed.push(watcher);
    }
}

const halls: readonly Place[] = [
    ...Array.from({ length: 8 }, (_, at) => ({ gate: `10.0.0.${at}:1` as Address, hall: HALL })),
    ...Array.from({ length: 4 }, (_, at) => ({ gate: `10.0.1.${at}:1` as Address, hall: "b" as HallName })),
];
const ranked = rank(halls.filter(place => place.hall === HALL).map(place => place.gate), HALL);

type Mocked = { mock: { timers: { enable(): void; tick(ms: number): void; }; }; };

/** A daemon of hall `a`, by its rank, whose time passes with `pass`. */
const daemonAt = (t: Mocked, place: number) => {
    t.mock.timers.enable();
    let now = 0;
    const watch = new FakeWatch();
    const sent: { readonly to: Address; readonly message: Message; }[] = [];
    const heartbeats = new HallHeartbeats({
        self: ranked[place]!,
        hall: HALL,
        host: "h" as never,
        clock: () => now,
        random: () => 0,
        configuration: new CurrentConfiguration(),
        puller: { pull: async () => {} } as never,
        election: new WatcherElection(ranked[place]!, 0),
        watch,
        places: () => halls,
        leavingHosts: { names: [], refresh: async () => {} } as never,
        send: (to, message) => sent.push({ to, message }) > 0,
        onWatch: () => {},
        onHostLeaving: () => {},
        crashMark: () => undefined,
        suspectMark: () => undefined,
        onCrashMark: () => {},
        evacuations: new Evacuations(),
    });
    heartbeats.followPlaces();
    heartbeats.start();
    const pass = (ms: number): void => {
        for (const until = now + ms; now < until;) {
            now += TICK_MS;
            t.mock.timers.tick(TICK_MS);
        }
    };
    const deliver = (from: number, more: object = {}): void =>
        heartbeats.receive({
            type: "beat",
            from: ranked[from]!,
            revision: 0,
            ageMs: 0,
            watching: true,
            leaving: [],
            records: { life: LIFE, at: 5 },
            ...more,
        });
    return { watch, sent, pass, deliver, stop: () => heartbeats.stop() };
};

test("heartbeats: two of a hall watch, and each tells its own half of it of a change at once", t => {
    const first = daemonAt(t as never, 0);
    first.pass(200);
    first.deliver(1);
    first.pass(2000);
    first.sent.length = 0;
    first.watch.records = { life: LIFE, at: 2 };
    first.pass(TICK_MS);
    const told = first.sent.map(({ to }) => to);
    const own = ranked.filter((_, at) => at % 2 === 0 && at > 0);
    own.forEach(gate => assert.ok(told.includes(gate), `${gate} is told`));
    assert.ok(ranked.filter((_, at) => at % 2 === 1).some(gate => !told.includes(gate)), "the rest is the other's");
    first.stop();
});

test("heartbeats: who is not first in rank follows its watcher, and the other one when that is silent", t => {
    const third = daemonAt(t as never, 2);
    third.deliver(0);
    third.deliver(1);
    assert.deepEqual(third.watch.followed, [ranked[0]]);
    third.watch.reached = false;
    for (let round = 0; round < 4; round++) {
        third.pass(2000);
        third.deliver(1);
    }
    assert.equal(third.watch.followed.at(-1), ranked[1]);
    assert.equal(third.watch.scope, "nothing", "it can't reach the store itself");
    third.watch.reached = true;
    third.pass(1000);
    assert.equal(third.watch.scope, "all", "one watcher is too few");
    third.stop();
});

test("heartbeats: one whom the store does not answer says that it does not watch, and follows one whom it does", t => {
    const first = daemonAt(t as never, 0);
    first.watch.reached = false;
    first.pass(400);
    first.deliver(2);
    const beats = first.sent.flatMap(({ message }) => message.type === "beat" ? [message.watching] : []);
    assert.ok(beats.length > 0 && beats.every(watching => !watching));
    assert.deepEqual(first.watch.followed, [ranked[2]]);
    first.stop();
});
