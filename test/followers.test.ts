import assert from "node:assert/strict";
import { test } from "node:test";
import { readMetric } from "../demo/readmetric.js";
import { rank } from "../src/distribution/rank.js";
import type { Address } from "../src/ids/address.js";
import type { HallName } from "../src/ids/hallname.js";
import { allServe } from "./allserve.js";
import { eventually } from "./eventually.js";
import { pause } from "./pause.js";
import { platformConfiguration } from "./platformconfiguration.js";
import { PlatformMesh } from "./platformmesh.js";
import { runWith } from "./runwith.js";

const HALL = "a";
const INSTANCES_PER_SERVICE = 4;
/**
 * Time for daemons to start and know each other, and for surplus watchers to stop: a start, a round of heartbeats and a
 * heartbeat timeout.
 */
const SETTLE_MS = 6000;
const addedRule = { name: "added", host: "site.example", pathPrefix: "/added/", kind: "repeatable", service: "pages" };

/** Runs the body with eight daemons in one hall that know each other and have settled which of them watch the store. */
const withHall = async (body: (mesh: PlatformMesh) => Promise<void>): Promise<void> => {
    await runWith(await PlatformMesh.start(["pages", "fees"], INSTANCES_PER_SERVICE, [HALL]), async mesh => {
        await eventually("all daemons serve pages", () => allServe(mesh, "/pages/1"), 5000);
        await pause(SETTLE_MS);
        await body(mesh);
    });
};

/** Returns the host names in the order in which their daemons become watchers, by the rank that daemons compute. */
const rankedHostNames = (mesh: PlatformMesh): string[] => {
    const addresses = mesh.hosts.map(host => `${host.ip}:7100` as Address);
    const hostNames = new Map(mesh.hosts.map(host => [`${host.ip}:7100`, host.name]));
    return rank(addresses, HALL as HallName).map(address => hostNames.get(address)!);
};

const countWatchCalls = async (mesh: PlatformMesh, name: string): Promise<number> => {
    const operator = `${mesh.host(name).ip}:7105`;
    return await readMetric(operator, "winglock_store_calls_total", "kind=\"watch-");
};

/** Concurrent requests to one daemon, within the slots of the remaining instances. */
const CONCURRENT_REQUESTS = 8;

/** Returns true if each daemon, one after the other, serves `pages` without this instance. */
const isUnused = async (mesh: PlatformMesh, id: string, names: readonly string[]): Promise<boolean> => {
    for (const name of names) {
        const responses = await Promise.all(
            Array.from(
                { length: CONCURRENT_REQUESTS },
                (_, index) => mesh.send(name, "GET", "/pages/1", `${name}-${index}`),
            ),
        );
        if (
            !responses.every(response => response.status === 200 && response.headers["server-signature"] !== `of-${id}`)
        ) {
            return false;
        }
    }
    return true;
};

test("followers: two daemons of a hall watch the store, and a change of an instance reaches all daemons", async () => {
    await withHall(async mesh => {
        const names = mesh.hosts.map(host => host.name);
        const callsBefore = await Promise.all(names.map(name => countWatchCalls(mesh, name)));
        await mesh.controlInstance("pages-1", { state: "draining" });
        await eventually("all daemons know that the instance drains", () => isUnused(mesh, "i-pages-1", names), 3000);
        await mesh.controlInstance("pages-1", { state: "ready" });
        await pause(2000);
        const callsAfter = await Promise.all(names.map(name => countWatchCalls(mesh, name)));
        const activeWatchers = names.filter((_, index) => callsAfter[index]! > callsBefore[index]!);
        assert.deepEqual(
            activeWatchers.sort(),
            rankedHostNames(mesh).slice(0, 2).sort(),
            "only the calls of the two watchers have returned",
        );
    });
});

test("followers: when both watchers are killed, others take over, and a configuration is in force within its bound plus a heartbeat timeout", async () => {
    await withHall(async mesh => {
        const watchers = rankedHostNames(mesh).slice(0, 2);
        const remainingHosts = rankedHostNames(mesh).slice(2);
        await Promise.all(watchers.map(name => mesh.daemons.get(name)!.end("SIGKILL")));
        await mesh.configure(platformConfiguration(5, [addedRule]));
        await eventually(
            "the rule is in force at the remaining daemons",
            () => allServe(mesh, "/added/1", remainingHosts),
            8000,
        );
        await Promise.all(watchers.map(name => mesh.startDaemon(name).ready()));
        await mesh.configure(
            platformConfiguration(6, [addedRule, { ...addedRule, name: "more", pathPrefix: "/more/" }]),
        );
        await eventually("the next configuration is in force at all daemons", () => allServe(mesh, "/more/1"), 4000);
    });
});

test("followers: when both watchers are cut off from the store, others take over, and the former watchers still learn of changes", async () => {
    await withHall(async mesh => {
        const refusedIps = rankedHostNames(mesh).slice(0, 2).map(name => mesh.host(name).ip);
        await mesh.controlStore({ refuse: 503, from: refusedIps });
        await mesh.configure(platformConfiguration(5, [addedRule]));
        await eventually("the rule is in force at all daemons", () => allServe(mesh, "/added/1"), 8000);
        await mesh.controlInstance("pages-1", { state: "draining" });
        const names = mesh.hosts.map(host => host.name);
        await eventually("all daemons know that the instance drains", () => isUnused(mesh, "i-pages-1", names), 4000);
    });
});

test("followers: while the store is down, a change of an instance reaches all daemons", async () => {
    await withHall(async mesh => {
        await mesh.controlStore({ refuse: 503 });
        await pause(1000);
        await mesh.controlInstance("pages-1", { state: "draining" });
        const names = mesh.hosts.map(host => host.name);
        await eventually("all daemons know that the instance drains", () => isUnused(mesh, "i-pages-1", names), 4000);
        await mesh.controlStore({ refuse: 0 });
        await mesh.controlStore({ forget: true });
        await mesh.configure(platformConfiguration(5, [addedRule]));
        await eventually("a rule is in force after the store is back", () => allServe(mesh, "/added/1"), 5000);
    });
});

test("followers: a daemon that ends for good is removed from every member list, and a new one is added to every list", async () => {
    await withHall(async mesh => {
        const endedHost = rankedHostNames(mesh).filter(name => name.startsWith("pages")).at(-1)!;
        const remainingHosts = mesh.hosts.map(host => host.name).filter(name => name !== endedHost);
        await mesh.daemons.get(endedHost)!.end("SIGKILL");
        const readMemberCount = (name: string): Promise<number> =>
            readMetric(`${mesh.host(name).ip}:7105`, "winglock_members");
        const allHaveMemberCount = async (count: number, names: readonly string[]): Promise<boolean> =>
            (await Promise.all(names.map(readMemberCount))).every(value => value === count);
        await eventually(
            "the remaining daemons have removed the ended one",
            () => allHaveMemberCount(2 * INSTANCES_PER_SERVICE - 1, remainingHosts),
            16_000,
        );
        await mesh.startDaemon(endedHost).ready();
        await eventually(
            "all daemons know the new one",
            () => allHaveMemberCount(2 * INSTANCES_PER_SERVICE, mesh.hosts.map(host => host.name)),
            5000,
        );
    });
});
