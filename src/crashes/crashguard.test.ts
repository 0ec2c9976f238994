import assert from "node:assert/strict";
import { test } from "node:test";
import { CrashFleet } from "../../test/crashfleet.js";
import type { Address } from "../ids/address.js";
import type { CrashId } from "../ids/crashid.js";
import type { Incarnation } from "../ids/incarnation.js";
import type { RequestKey } from "../ids/requestkey.js";
import type { CrashRecord } from "../policy/quarantine/crashrecord.js";
import { sleep } from "../time/sleep.js";
import { CrashPublisher } from "./crashpublisher.js";
import { CrashSpread } from "./crashspread.js";

const bad = "bad" as RequestKey;
const proper = "proper" as RequestKey;
const crashId = (at: number): CrashId => `crash-${at}` as CrashId;

type Daemon = CrashFleet["daemons"][number];

const fleet = (size: number, carries: ConstructorParameters<typeof CrashFleet>[1]): Daemon[] =>
    new CrashFleet(size, carries).daemons;

const crashAt = (daemon: Daemon, crash: number, requests = [bad]): void => CrashFleet.crashAt(daemon, crash, requests);

test("crash guard: crashes at three daemons are one count", () => {
    const daemons = fleet(4, () => true);
    [1, 2, 3].forEach(at => crashAt(daemons[at]!, at));
    assert.deepEqual(daemons.map(({ guard }) => guard.standing(bad)), [
        "quarantined",
        "quarantined",
        "quarantined",
        "quarantined",
    ]);
});

test("crash guard: with all datagrams lost, marks bring daemons together", async () => {
    const daemons = fleet(5, () => false);
    [1, 2, 3].forEach(at => crashAt(daemons[at]!, at));
    assert.equal(daemons[4]!.guard.standing(bad), "free");
    for (let round = 0; round < 2; round++) {
        daemons.forEach(({ spread }) => spread.compareMarks("10.0.0.0:1" as Address, daemons[0]!.guard.mark));
        await sleep(5);
    }
    assert.deepEqual(daemons.map(({ guard }) => guard.standing(bad)), Array(5).fill("quarantined"));
    assert.equal(new Set(daemons.map(({ guard }) => guard.mark)).size, 1);
});

test("crash guard: marks that can't come to the same are exchanged once, and again when one of them has changed", async () => {
    let exchanges = 0;
    let theirs = 0;
    const life = "life" as Incarnation;
    const { guard } = fleet(1, () => true)[0]!;
    const peer = "10.0.0.9:1" as Address;
    const spread = new CrashSpread({
        self: "10.0.0.0:1" as Address,
        guard,
        random: () => 0,
        peers: () => [peer],
        relays: () => [],
        siblings: () => [],
        send: () => true,
        life,
        exchange: async () => {
            exchanges += 1;
            await sleep(5);
            return { records: [], upTo: { life, at: 0 }, mark: theirs };
        },
    });
    const compare = async (mark: number): Promise<number> => {
        theirs = mark;
        spread.compareMarks(peer, mark);
        spread.compareMarks(peer, mark);
        await sleep(20);
        return exchanges;
    };
    assert.equal(await compare(7), 1);
    assert.equal(await compare(7), 1);
    assert.equal(await compare(8), 2);
    crashAt({ guard } as Daemon, 1);
    assert.equal(await compare(8), 3);
    theirs = 9;
    spread.compareMarks(peer, 9);
    spread.compareMarks(peer, 10);
    await sleep(20);
    assert.equal(await compare(10), 5, "a mark that came during an exchange is not forgotten");
});

test("crash guard: one that has just started asks those that it meets", async () => {
    const daemons = fleet(3, () => false);
    [1, 2, 3].forEach(at => crashAt(daemons[0]!, at));
    daemons[2]!.spread.meet();
    await sleep(5);
    assert.equal(daemons[2]!.guard.standing(bad), "quarantined");
});

test("crash guard: what an upstream anywhere has served well, before or later, is not quarantined", () => {
    const daemons = fleet(4, () => true);
    daemons[0]!.served.add(proper);
    [1, 2, 3].forEach(at => crashAt(daemons[at]!, at, [bad, proper]));
    assert.equal(daemons[0]!.guard.standing(proper), "free");
    [4, 5, 6].forEach(at => crashAt(daemons[1]!, at));
    daemons[2]!.guard.recordServed(bad);
    assert.equal(daemons[2]!.guard.standing(bad), "free");
});

test("crash guard: what is quarantined is kept in the store by who saw a crash, again when the store had failed", async () => {
    const { guard } = fleet(1, () => true)[0]!;
    const written: CrashRecord[] = [];
    let failures = 1;
    const publisher = new CrashPublisher({
        guard,
        clock: () => 0,
        write: async record => {
            if (failures-- > 0) {
                throw new Error("the store is down");
            }
            written.push(record);
        },
    });
    publisher.start();
    [1, 2].forEach(at => crashAt({ guard } as Daemon, at));
    await sleep(5);
    assert.equal(written.length, 0);
    guard.merge([{ request: bad, crashes: [crashId(3)], cleared: [], ageMs: 0 }]);
    await sleep(400);
    assert.deepEqual(written.map(({ request, crashes }) => [request, crashes.length]), [[bad, 3]]);
    guard.recordServed(bad);
    await sleep(5);
    assert.equal(written.at(-1)!.cleared.length, 3, "that it is cleared, too");
    publisher.stop();
});

test("crash guard: what is quarantined is written again and again, by the one who saw the first crash", async () => {
    const daemons = fleet(3, () => true);
    const writes = [0, 0, 0];
    let now = 0;
    const publishers = daemons.map(({ guard }, at) =>
        new CrashPublisher({ guard, clock: () => now, write: () => Promise.resolve(void writes[at]!++) })
    );
    publishers.forEach(publisher => publisher.start());
    daemons.forEach((daemon, at) => crashAt(daemon, at));
    const passTime = async (): Promise<void> => {
        now += 20_000;
        const other: CrashRecord = {
            request: `other-${now}` as RequestKey,
            crashes: [crashId(9)],
            cleared: [],
            ageMs: 0,
        };
        daemons.forEach(({ guard }) => guard.merge([other]));
        await sleep(5);
    };
    await sleep(5);
    const before = [...writes];
    assert.ok(before.every(count => count > 0));
    await passTime();
    await passTime();
    publishers.forEach(publisher => publisher.stop());
    assert.deepEqual(writes.map((count, at) => count - before[at]!), [2, 0, 0]);
});
