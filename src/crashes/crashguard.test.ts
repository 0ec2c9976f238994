import assert from "node:assert/strict";
import { test } from "node:test";
import { CrashFleet } from "../../test/crashfleet.js";
import type { Address } from "../ids/address.js";
import type { CrashId } from "../ids/crashid.js";
import type { Incarnation } from "../ids/incarnation.js";
import type { RequestKey } from "../ids/requestkey.js";
import type { CrashRecord } from "../policy/quarantine/crashrecord.js";
import { sleep } from "../time/sleep.js";
import { CrashPropagation } from "./crashpropagation.js";
import { CrashPublisher } from "./crashpublisher.js";

const crashing = "crashing" as RequestKey;
const harmless = "harmless" as RequestKey;
const crashId = (number: number): CrashId => `crash-${number}` as CrashId;

type Daemon = CrashFleet["daemons"][number];

const createDaemons = (size: number, isDelivered: ConstructorParameters<typeof CrashFleet>[1]): Daemon[] =>
    new CrashFleet(size, isDelivered).daemons;

const recordCrash = (daemon: Daemon, crash: number, requests = [crashing]): void =>
    CrashFleet.recordCrash(daemon, crash, requests);

test("crash guard: counts the crashes of all daemons together", () => {
    const daemons = createDaemons(4, () => true);
    [1, 2, 3].forEach(number => recordCrash(daemons[number]!, number));
    assert.deepEqual(daemons.map(({ guard }) => guard.statusOf(crashing)), [
        "quarantined",
        "quarantined",
        "quarantined",
        "quarantined",
    ]);
});

test("crash guard: daemons reach equal records by comparing digests if all datagrams are lost", async () => {
    const daemons = createDaemons(5, () => false);
    [1, 2, 3].forEach(number => recordCrash(daemons[number]!, number));
    assert.equal(daemons[4]!.guard.statusOf(crashing), "free");
    for (let round = 0; round < 2; round++) {
        daemons.forEach(({ propagation }) =>
            propagation.compareDigests("10.0.0.0:1" as Address, daemons[0]!.guard.digest)
        );
        await sleep(5);
    }
    assert.deepEqual(daemons.map(({ guard }) => guard.statusOf(crashing)), Array(5).fill("quarantined"));
    assert.equal(new Set(daemons.map(({ guard }) => guard.digest)).size, 1);
});

test("crash guard: exchanges once if the digests stay different, and again after either has changed", async () => {
    let exchangeCount = 0;
    let peerDigest = 0;
    const incarnation = "incarnation" as Incarnation;
    const { guard } = createDaemons(1, () => true)[0]!;
    const peer = "10.0.0.9:1" as Address;
    const propagation = new CrashPropagation({
        self: "10.0.0.0:1" as Address,
        guard,
        random: () => 0,
        members: () => [peer],
        relays: () => [],
        siblings: () => [],
        send: () => true,
        incarnation,
        exchange: async () => {
            exchangeCount += 1;
            await sleep(5);
            return { records: [], upTo: { life: incarnation, at: 0 }, mark: peerDigest };
        },
    });
    const compare = async (digest: number): Promise<number> => {
        peerDigest = digest;
        propagation.compareDigests(peer, digest);
        propagation.compareDigests(peer, digest);
        await sleep(20);
        return exchangeCount;
    };
    assert.equal(await compare(7), 1);
    assert.equal(await compare(7), 1);
    assert.equal(await compare(8), 2);
    recordCrash({ guard } as Daemon, 1);
    assert.equal(await compare(8), 3);
    peerDigest = 9;
    propagation.compareDigests(peer, 9);
    propagation.compareDigests(peer, 10);
    await sleep(20);
    assert.equal(await compare(10), 5, "a digest that was received during an exchange leads to another one");
});

test("crash guard: a daemon exchanges records after its start, without waiting for heartbeats", async () => {
    const daemons = createDaemons(3, () => false);
    [1, 2, 3].forEach(number => recordCrash(daemons[0]!, number));
    daemons[2]!.propagation.onMembersChanged();
    await sleep(5);
    assert.equal(daemons[2]!.guard.statusOf(crashing), "quarantined");
});

test("crash guard: does not quarantine a request that any upstream has served, before or after the crashes", () => {
    const daemons = createDaemons(4, () => true);
    daemons[0]!.served.add(harmless);
    [1, 2, 3].forEach(number => recordCrash(daemons[number]!, number, [crashing, harmless]));
    assert.equal(daemons[0]!.guard.statusOf(harmless), "free");
    [4, 5, 6].forEach(number => recordCrash(daemons[1]!, number));
    daemons[2]!.guard.recordServed(crashing);
    assert.equal(daemons[2]!.guard.statusOf(crashing), "free");
});

test("crash guard: a daemon with a local crash stores the quarantine, and retries if the store fails", async () => {
    const { guard } = createDaemons(1, () => true)[0]!;
    const written: CrashRecord[] = [];
    let failures = 1;
    const publisher = new CrashPublisher({
        guard,
        clock: () => 0,
        write: async record => {
            if (failures-- > 0) {
                throw new Error("the store is unavailable");
            }
            written.push(record);
        },
    });
    publisher.start();
    [1, 2].forEach(number => recordCrash({ guard } as Daemon, number));
    await sleep(5);
    assert.equal(written.length, 0);
    guard.merge([{ request: crashing, crashes: [crashId(3)], cleared: [], ageMs: 0 }]);
    await sleep(400);
    assert.deepEqual(written.map(({ request, crashes }) => [request, crashes.length]), [[crashing, 3]]);
    guard.recordServed(crashing);
    await sleep(5);
    assert.equal(written.at(-1)!.cleared.length, 3, "the cleared crashes are written, too");
    publisher.stop();
});

test("crash guard: only the daemon with the lowest crash id renews a quarantine in the store", async () => {
    const daemons = createDaemons(3, () => true);
    const writeCounts = [0, 0, 0];
    let now = 0;
    const publishers = daemons.map(({ guard }, index) =>
        new CrashPublisher({ guard, clock: () => now, write: () => Promise.resolve(void writeCounts[index]!++) })
    );
    publishers.forEach(publisher => publisher.start());
    daemons.forEach((daemon, index) => recordCrash(daemon, index));
    const passRenewInterval = async (): Promise<void> => {
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
    const countsBefore = [...writeCounts];
    assert.ok(countsBefore.every(count => count > 0));
    await passRenewInterval();
    await passRenewInterval();
    publishers.forEach(publisher => publisher.stop());
    assert.deepEqual(writeCounts.map((count, index) => count - countsBefore[index]!), [2, 0, 0]);
});
