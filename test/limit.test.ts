import assert from "node:assert/strict";
import { test } from "node:test";
import { eventually } from "./eventually.js";
import { pause } from "./pause.js";
import { platformConfiguration } from "./platformconfiguration.js";
import { platformLoad } from "./runplatformload.js";
import type { PlatformMesh } from "./platformmesh.js";
import { withPlatform } from "./withplatform.js";

/** What the users' bound allows in any 4 s: one and a half times the limit, and five. */
const WINDOW_MS = 4000;
const OVERAGE = 1.5;
const SLACK = 5;
/** Milliseconds after a host has passed on the first answer that states it. */
const GRACE_MS = 500;
/** Requests a second that the upstream states. */
const LIMIT = 4;
/** Requests a second of all callers: many times the limit, and what one instance serves with ease. */
const LOAD = 100;
/** The same of one whose slots alone would pass the bound in a few starts. */
const LOW = 1;
/** Work of this many milliseconds lasts from a start until all slots are in use. */
const LONG_MS = 400;
/** With work of this many milliseconds both instances are used under the load, and one alone would do. */
const BUSY_MS = 25;
/** Work of this many milliseconds is more than one instance serves under the load, and two do. */
const FULL_MS = 60;

/** When requests and health questions came to instances that stated a limit, by the clock of the one instance that did. */
const whileLimited = (mesh: PlatformMesh): number[] =>
    mesh.runs.filter(line => line.startsWith("L ")).map(line => Number(line.split(" ")[1]));

/** Some in each 4 s, so that its end is learnt. */
const isSentOn = (times: readonly number[]): boolean =>
    times.length > 1 && times.every((at, index) => index === 0 || at - times[index - 1]! <= WINDOW_MS);

/** The daemon beside it knows no limit any more. */
const isUsed = (mesh: PlatformMesh): boolean => {
    const lines = mesh.log.filter(line => /The upstream (?:no longer )?states a rate limit/.test(line));
    return lines.at(-1)?.includes("no longer states a rate limit") === true;
};

const rule = (name: string, pathPrefix: string): object => ({
    name,
    host: "site.example",
    pathPrefix,
    kind: "repeatable",
    timeLimitMs: 1000,
    targetMs: 200,
    service: "pages",
    maxTries: 2,
});

const mostInAWindow = (times: readonly number[]): number =>
    Math.max(0, ...times.map(from => times.filter(at => at >= from && at <= from + WINDOW_MS).length));

const checkBound = (mesh: PlatformMesh, limit = LIMIT): number[] => {
    const statedAt = mesh.runs.filter(line => line.startsWith("S ")).map(line => Number(line.split(" ")[1]))[0];
    assert.ok(statedAt !== undefined, "it has answered, and stated its limit");
    const counted = whileLimited(mesh).filter(at => at > statedAt + GRACE_MS);
    const allowed = limit * WINDOW_MS / 1000 * OVERAGE + SLACK;
    assert.ok(mostInAWindow(counted) <= allowed, `${mostInAWindow(counted)} in 4 s, ${allowed} allowed`);
    return counted;
};

// Guards against sending an upstream more than the limit that it states in its answers, which nothing read.
test("limit: an upstream that states one under load gets no more from all hosts together, and the others serve the rest", async () => {
    await withPlatform(async mesh => {
        await Promise.all(["pages-1", "pages-2"].map(name => mesh.strikeInstance(name, { workMs: BUSY_MS })));
        const loaded = platformLoad(mesh, { perSecond: LOAD, forMs: 8000 });
        await pause(1000);
        await mesh.strikeInstance("pages-1", { limit: String(LIMIT) });
        const { sent, served } = await loaded;
        const times = checkBound(mesh);
        assert.ok(isSentOn(times), `it is sent some all the time: ${times.join()}`);
        assert.ok(served >= sent * 0.98, `${served} of ${sent}`);
    });
});

test("limit: where the others have no room for the rest, it gets nearly all that it takes, and what is refused is told when to come back", async () => {
    await withPlatform(async mesh => {
        await Promise.all(["pages-1", "pages-2"].map(name => mesh.strikeInstance(name, { workMs: FULL_MS })));
        const loaded = platformLoad(mesh, { perSecond: LOAD, forMs: 8000 });
        await pause(1000);
        await mesh.strikeInstance("pages-1", { limit: String(LIMIT) });
        await pause(3000);
        const told = await Promise.all(
            Array.from({ length: 40 }, (_, at) => mesh.send("pages-2", "GET", "/pages/1", `more-${at}`)),
        );
        await loaded;
        const times = checkBound(mesh);
        assert.ok(times.length >= LIMIT * 6 * 0.8, `${times.length} were sent to it in 6.5 s`);
        const refused = told.filter(({ status }) => status === 503);
        assert.ok(refused.length > 0 && refused.every(({ headers }) => Number(headers["retry-after"]) > 0));
    });
});

// Guards against a daemon that has forgotten the limit at its start, while hosts that have passed it on are bound by it.
test("limit: it holds beside a daemon that was killed and has started again, as often as that happens", async () => {
    await withPlatform(async mesh => {
        const hosts = mesh.hosts.map(({ name }) => name).filter(name => name !== "pages-1");
        await mesh.strikeInstance("pages-2", { workMs: LONG_MS });
        const loaded = platformLoad(mesh, { hosts, perSecond: LOAD, forMs: 9000 });
        await pause(1000);
        await mesh.strikeInstance("pages-1", { limit: String(LOW), workMs: LONG_MS });
        await pause(1500);
        for (let time = 0; time < 3; time++) {
            await pause(500);
            await mesh.daemons.get("pages-1")!.end("SIGKILL");
            await mesh.startDaemon("pages-1").ready();
        }
        await loaded;
        checkBound(mesh, LOW);
    });
});

test("limit: where all of a service state one, callers are told at once when to come back, and urgent ones are served first", async () => {
    await withPlatform(async mesh => {
        const urgent = { ...rule("first", "/first/"), priority: 0 };
        await mesh.configure(platformConfiguration(7, [urgent, { ...rule("last", "/last/"), priority: 2 }]));
        await eventually(
            "it is in force",
            async () => (await mesh.send("pages-1", "GET", "/first/1", "first")).status === 200,
        );
        await Promise.all(["pages-1", "pages-2"].map(name => mesh.strikeInstance(name, { limit: String(LIMIT) })));
        await platformLoad(mesh, { perSecond: 20, forMs: 1500 });
        const [first, last] = await Promise.all(
            ["/first/1", "/last/1"].map(path => platformLoad(mesh, { path, perSecond: LIMIT * 2, forMs: 5000 })),
        );
        checkBound(mesh, LIMIT * 2);
        assert.ok(first!.served >= last!.served * 2, `${first!.served} urgent, ${last!.served} others`);
        assert.ok(first!.served + last!.served >= LIMIT * 2 * 5 * 0.7, `${first!.served + last!.served} served`);
        const told = await Promise.all(
            Array.from({ length: 20 }, (_, at) => mesh.send("pages-1", "GET", "/last/1", `told-${at}`)),
        );
        const refused = told.filter(({ status }) => status === 503);
        assert.ok(refused.length >= 10, `${refused.length} are refused`);
        assert.ok(refused.every(({ headers }) => Number(headers["retry-after"]) > 0));
    });
});

test("limit: values that can't be read are named in the log, and what was stated before holds until an answer without one", async () => {
    await withPlatform(async mesh => {
        await Promise.all(["pages-1", "pages-2"].map(name => mesh.strikeInstance(name, { workMs: BUSY_MS })));
        await mesh.strikeInstance("pages-1", { limit: String(LIMIT) });
        await platformLoad(mesh, { perSecond: LOAD, forMs: 1000 });
        const loaded = platformLoad(mesh, { perSecond: LOAD, forMs: 8000 });
        for (const limit of ["abc", "-1", "1e999", "7.8;9"]) {
            await mesh.strikeInstance("pages-1", { limit });
            await pause(2000);
        }
        await loaded;
        checkBound(mesh);
        const unread = mesh.log.filter(line => line.includes("limit can't be read"));
        assert.ok(
            unread.length > 0 && unread.every(line => line.includes("\"field\":\"server-limit\"")),
            `${unread.length}`,
        );
        await mesh.strikeInstance("pages-1", { limit: "" });
        await platformLoad(mesh, { perSecond: LOAD, forMs: 4000 });
        assert.ok(mesh.log.some(line => line.includes("The upstream no longer states a rate limit")));
    });
});

test("limit: one that states 0 gets no more than what finds out that it takes requests again", async () => {
    await withPlatform(async mesh => {
        await Promise.all(["pages-1", "pages-2"].map(name => mesh.strikeInstance(name, { workMs: BUSY_MS })));
        const loaded = platformLoad(mesh, { perSecond: LOAD, forMs: 9000 });
        await pause(500);
        await mesh.strikeInstance("pages-1", { limit: "0" });
        await pause(6000);
        assert.ok(whileLimited(mesh).length > 0, "it has stated it");
        checkBound(mesh, 0);
        await mesh.strikeInstance("pages-1", { limit: "", saysOnHealth: true });
        const { sent, served } = await loaded;
        assert.ok(served >= sent * 0.98, `${served} of ${sent}`);
        await eventually("it is used again", async () => {
            const before = mesh.runs.length;
            await platformLoad(mesh, { perSecond: LOAD, forMs: 1000 });
            return mesh.runs.length - before >= LOAD * 0.95 && isUsed(mesh);
        }, 2000);
    });
});
