/**
 * Clients leave while their daemon has less processor time than its work takes: no turn of its event loop is long, and yet
 * requests wait in its sockets, and in the queue of new connections, for a second.
 */
import assert from "node:assert/strict";
import { test } from "node:test";
import { pause } from "./pause.js";
import type { PlatformMesh } from "./platformmesh.js";
import { sendAndAbort } from "./sendandabort.js";
import { sendPeriodically } from "./sendperiodically.js";
import { withTimeSlices } from "./timeslices.js";
import { withPlatform } from "./withplatform.js";

const DAEMON = "fees-1";
const GROUPS = 20;
const CLIENTS_PER_GROUP = 10;
const GROUP_INTERVAL_MS = 100;
const LEAVE_AFTER_MS = 15;
/** The users' bound on the time from a client's leaving to the last run that may begin for it. */
const LEFT_BOUND_MS = 500;
/** Longer than the time limits of the requests. */
const SETTLE_MS = 3000;
const LOAD_MS = 3000;

type Slice = Parameters<typeof withTimeSlices>[1];
type Target = { readonly method: string; readonly path: string; };

const get: Target = { method: "GET", path: "/pages/1" };
const post: Target = { method: "POST", path: "/fees/1" };

/** Sends groups of requests whose clients leave soon; returns the time at which each of them left, by its id. */
const sendGroups = async (mesh: PlatformMesh, { method, path }: Target): Promise<Map<string, number>> => {
    const { ip } = mesh.host(DAEMON);
    const leftAt = new Map<string, number>();
    const sendOne = async (id: string): Promise<void> => {
        await sendAndAbort({ ip, method, path, id }, LEAVE_AFTER_MS);
        leftAt.set(id, performance.now());
    };
    const sendGroup = (group: number): Promise<void[]> =>
        Promise.all(Array.from({ length: CLIENTS_PER_GROUP }, (_, index) => sendOne(`left-${group}-${index}`)));
    await sendPeriodically(GROUPS * GROUP_INTERVAL_MS, GROUP_INTERVAL_MS, sendGroup);
    return leftAt;
};

/** Sends requests whose clients wait, each on a new connection; returns the statuses, 0 for no response in time. */
const sendOthers = async (mesh: PlatformMesh, perSecond: number): Promise<number[]> => {
    return await sendPeriodically(LOAD_MS, 1000 / perSecond, async index => {
        const { status } = await mesh.send(DAEMON, "GET", "/pages/2", `stays-${index}`, 1000);
        return status;
    });
};

/** Asserts that no request began to run more than half a second after its client had left. */
const assertNoneLate = (mesh: PlatformMesh, leftAt: ReadonlyMap<string, number>): void => {
    const delays = [...leftAt].flatMap(([id, time]) => {
        const startedAt = mesh.runStartedAt.get(id);
        return startedAt === undefined ? [] : [Math.round(startedAt - time)];
    });
    const late = delays.filter(delay => delay > LEFT_BOUND_MS);
    const summary = `${late.length} of ${leftAt.size} late, ${delays.length} ran, oldest ${Math.max(0, ...delays)} ms`;
    assert.equal(late.length, 0, summary);
};

const countServed = (statuses: readonly number[]): number => statuses.filter(status => status === 200).length;

const assertMostServed = (statuses: readonly number[]): void => {
    assert.ok(countServed(statuses) > statuses.length / 2, `${countServed(statuses)} of ${statuses.length} served`);
};

/** Asserts that the daemon serves each request once it has all its processor time again. */
const assertServes = async (mesh: PlatformMesh): Promise<void> => {
    const statuses = await sendPeriodically(1000, 50, async index => {
        const { status } = await mesh.send(DAEMON, "GET", "/pages/3", `after-${index}`, 1000);
        return status;
    });
    assert.equal(countServed(statuses), statuses.length, "all are served after it");
};

// Guards against work for clients that have left (GONE): requests waited in many short pauses, none of which is a stall.
const assertNoneLateInSlices = async (target: Target, slice: Slice): Promise<void> => {
    await withPlatform(async mesh => {
        const leftAt = await withTimeSlices(mesh.daemons.get(DAEMON)!, slice, async () => {
            const left = await sendGroups(mesh, target);
            await pause(SETTLE_MS);
            return left;
        });
        assertNoneLate(mesh, leftAt);
        await assertServes(mesh);
    });
};

test("starved: a daemon with slices of processor time passes on no GET whose client left", async () => {
    await assertNoneLateInSlices(get, { runMs: 10, stopMs: 90 });
});

test("starved: a daemon with slices of processor time passes on no POST whose client left", async () => {
    await assertNoneLateInSlices(post, { runMs: 10, stopMs: 90 });
});

// Guards against work for clients that have left (GONE): delays at both ends of a link, each short enough, add up.
test("starved: daemons that all have slices of processor time run no request whose client left", async () => {
    await withPlatform(async mesh => {
        const sliceOthers = [...mesh.daemons].filter(([name]) => name !== DAEMON).map(([, daemon]) => daemon);
        const run = async (): Promise<Map<string, number>> => {
            const left = await sendGroups(mesh, get);
            await pause(SETTLE_MS);
            return left;
        };
        const slice = { runMs: 20, stopMs: 80 };
        const leftAt = await sliceOthers.reduce(
            (body, daemon) => () => withTimeSlices(daemon, slice, body),
            () => withTimeSlices(mesh.daemons.get(DAEMON)!, slice, run),
        )();
        assertNoneLate(mesh, leftAt);
        await assertServes(mesh);
    });
});

// Guards against work for clients that have left (GONE), and against refusing the others to get there.
test("starved: a daemon with slices of processor time and other load serves those that wait, not those that left", async () => {
    await withPlatform(async mesh => {
        const slice = { runMs: 20, stopMs: 80 };
        const [leftAt, statuses] = await withTimeSlices(mesh.daemons.get(DAEMON)!, slice, async () => {
            const both = await Promise.all([sendGroups(mesh, get), sendOthers(mesh, 100)]);
            await pause(SETTLE_MS);
            return both;
        });
        assertNoneLate(mesh, leftAt);
        assertMostServed(statuses);
        await assertServes(mesh);
    });
});

// Guards against work for clients that have left (GONE): stalls in a series were taken for overload.
test("starved: a daemon that stands still again and again passes on no request whose client left", async () => {
    await assertNoneLateInSlices(get, { runMs: 100, stopMs: 600 });
});

// Guards against work for clients that have left (GONE): the daemon's own work delayed what it had not accepted.
test("starved: a daemon with more new connections than it can serve passes on no request whose client left", async () => {
    await withPlatform(async mesh => {
        const [leftAt, statuses] = await Promise.all([sendGroups(mesh, get), sendOthers(mesh, 1000)]);
        await pause(SETTLE_MS);
        assertNoneLate(mesh, leftAt);
        assertMostServed(statuses);
        await assertServes(mesh);
    });
});
