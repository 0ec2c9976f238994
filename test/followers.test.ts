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
const EACH = 4;
/** Until daemons have met, and those that need not watch have stopped: a start, a round of heartbeats, a lapse. */
const SETTLE_MS = 6000;
const added = { name: "added", host: "site.example", pathPrefix: "/added/", kind: "repeatable", service: "pages" };

/** Eight daemons in one hall, met and settled. */
const withHall = async (body: (mesh: PlatformMesh) => Promise<void>): Promise<void> => {
    await runWith(await PlatformMesh.start(["pages", "fees"], EACH, [HALL]), async mesh => {
        await eventually("all serve both services", () => allServe(mesh, "/pages/1"), 5000);
        await pause(SETTLE_MS);
        await body(mesh);
    });
};

/** Those that watch first, by the rank that daemons compute. */
const ranked = (mesh: PlatformMesh): string[] => {
    const gates = mesh.hosts.map(host => `${host.ip}:7100` as Address);
    const names = new Map(mesh.hosts.map(host => [`${host.ip}:7100`, host.name]));
    return rank(gates, HALL as HallName).map(gate => names.get(gate)!);
};

const watchCalls = async (mesh: PlatformMesh, name: string): Promise<number> => {
    const operator = `${mesh.host(name).ip}:7105`;
    return await readMetric(operator, "winglock_store_calls_total", "kind=\"watch-");
};

/** Asked of one daemon at once: what the instances that are left have slots for. */
const AT_ONCE = 8;

/** Answers of `pages` that reach a caller at each daemon come from this instance no more; one daemon is asked after the other. */
const isGone = async (mesh: PlatformMesh, id: string, names: readonly string[]): Promise<boolean> => {
    for (const name of names) {
        const told = await Promise.all(
            Array.from({ length: AT_ONCE }, (_, at) => mesh.send(name, "GET", "/pages/1", `${name}-${at}`)),
        );
        if (!told.every(item => item.status === 200 && item.headers["server-signature"] !== `of-${id}`)) {
            return false;
        }
    }
    return true;
};

test("followers: two of a hall watch the store, and a change of an instance reaches all", async () => {
    await withHall(async mesh => {
        const names = mesh.hosts.map(host => host.name);
        const before = await Promise.all(names.map(name => watchCalls(mesh, name)));
        await mesh.strikeInstance("pages-1", { state: "draining" });
        await eventually("all know that it drains", () => isGone(mesh, "i-pages-1", names), 3000);
        await mesh.strikeInstance("pages-1", { state: "ready" });
        await pause(2000);
        const after = await Promise.all(names.map(name => watchCalls(mesh, name)));
        const called = names.filter((_, at) => after[at]! > before[at]!);
        assert.deepEqual(called.sort(), ranked(mesh).slice(0, 2).sort(), "nobody else's watch has come back");
    });
});

test("followers: with both watchers killed others step in, and a configuration is in force within its bound and a lapse", async () => {
    await withHall(async mesh => {
        const watchers = ranked(mesh).slice(0, 2);
        const rest = ranked(mesh).slice(2);
        await Promise.all(watchers.map(name => mesh.daemons.get(name)!.end("SIGKILL")));
        await mesh.configure(platformConfiguration(5, [added]));
        await eventually("the rule serves at the rest", () => allServe(mesh, "/added/1", rest), 8000);
        await Promise.all(watchers.map(name => mesh.startDaemon(name).ready()));
        await mesh.configure(platformConfiguration(6, [added, { ...added, name: "more", pathPrefix: "/more/" }]));
        await eventually("the next one serves everywhere", () => allServe(mesh, "/more/1"), 4000);
    });
});

test("followers: with both watchers cut from the store others step in, and the cut ones are told", async () => {
    await withHall(async mesh => {
        const from = ranked(mesh).slice(0, 2).map(name => mesh.host(name).ip);
        await mesh.strikeStore({ refuse: 503, from });
        await mesh.configure(platformConfiguration(5, [added]));
        await eventually("the rule serves everywhere", () => allServe(mesh, "/added/1"), 8000);
        await mesh.strikeInstance("pages-1", { state: "draining" });
        const names = mesh.hosts.map(host => host.name);
        await eventually("all know that an instance drains", () => isGone(mesh, "i-pages-1", names), 4000);
    });
});

test("followers: while the store is down, a change of an instance reaches all", async () => {
    await withHall(async mesh => {
        await mesh.strikeStore({ refuse: 503 });
        await pause(1000);
        await mesh.strikeInstance("pages-1", { state: "draining" });
        const names = mesh.hosts.map(host => host.name);
        await eventually("all know that it drains", () => isGone(mesh, "i-pages-1", names), 4000);
        await mesh.strikeStore({ refuse: 0 });
        await mesh.strikeStore({ forget: true });
        await mesh.configure(platformConfiguration(5, [added]));
        await eventually("a rule serves after that", () => allServe(mesh, "/added/1"), 5000);
    });
});

test("followers: a daemon that ends for good is known nowhere any more, one that is new everywhere", async () => {
    await withHall(async mesh => {
        const leaver = ranked(mesh).filter(name => name.startsWith("pages")).at(-1)!;
        const rest = mesh.hosts.map(host => host.name).filter(name => name !== leaver);
        await mesh.daemons.get(leaver)!.end("SIGKILL");
        const known = (name: string): Promise<number> => readMetric(`${mesh.host(name).ip}:7105`, "winglock_members");
        const allKnow = async (count: number, names: readonly string[]): Promise<boolean> =>
            (await Promise.all(names.map(known))).every(value => value === count);
        await eventually("the rest have given it up", () => allKnow(2 * EACH - 1, rest), 16_000);
        await mesh.startDaemon(leaver).ready();
        await eventually("all know it", () => allKnow(2 * EACH, mesh.hosts.map(host => host.name)), 5000);
    });
});
