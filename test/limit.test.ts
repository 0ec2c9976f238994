import assert from "node:assert/strict";
import { test } from "node:test";
import { eventually } from "./eventually.js";
import { pause } from "./pause.js";
import { platformConfiguration } from "./platformconfiguration.js";
import type { PlatformMesh } from "./platformmesh.js";
import { runPlatformLoad } from "./runplatformload.js";
import { withPlatform } from "./withplatform.js";

/** The users' bound for any 4 s: 1.5 times the stated rate limit, plus 5 requests. */
const BOUND_WINDOW_MS = 4000;
const OVERAGE_FACTOR = 1.5;
const SLACK_REQUESTS = 5;
/** The bound applies from this time after a host has forwarded the first response that states the limit. */
const GRACE_MS = 500;
/** The rate limit that the upstream states. */
const LIMIT_PER_SECOND = 4;
/** Rate of all callers together: many times the limit, and within the capacity of one instance. */
const LOAD_PER_SECOND = 100;
/** A limit so low that requests in all slots after each of a few daemon restarts would exceed the bound. */
const LOW_LIMIT_PER_SECOND = 1;
/** Service time that is long enough for all slots to fill after a daemon's start. */
const LONG_WORK_MS = 400;
/** Service time with which the load uses both instances, although one alone could serve it. */
const MODERATE_WORK_MS = 25;
/** Service time with which the load exceeds the capacity of one instance, but not of two. */
const SATURATING_WORK_MS = 60;

/** Returns when requests and health checks reached the instance while it stated a limit, in ms of its own clock. */
const arrivalsWhileLimited = (mesh: PlatformMesh): number[] =>
    mesh.instanceLines.filter(line => line.startsWith("L ")).map(line => Number(line.split(" ")[1]));

/** Returns true if no gap is longer than the window, so that the daemons would learn that the limit has ended. */
const arriveInEachWindow = (times: readonly number[]): boolean =>
    times.length > 1 && times.every((timeMs, index) => index === 0 || timeMs - times[index - 1]! <= BOUND_WINDOW_MS);

/** Returns true if the last log line about a stated rate limit says that the upstream no longer states one. */
const isLimitEnded = (mesh: PlatformMesh): boolean => {
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

const maxArrivalsInWindow = (times: readonly number[]): number =>
    Math.max(
        0,
        ...times.map(startMs =>
            times.filter(timeMs => timeMs >= startMs && timeMs <= startMs + BOUND_WINDOW_MS).length
        ),
    );

const assertWithinBound = (mesh: PlatformMesh, limit = LIMIT_PER_SECOND): number[] => {
    const statedAtMs =
        mesh.instanceLines.filter(line => line.startsWith("S ")).map(line => Number(line.split(" ")[1]))[0];
    assert.ok(statedAtMs !== undefined, "the instance has stated its limit in a response");
    const arrivals = arrivalsWhileLimited(mesh).filter(timeMs => timeMs > statedAtMs + GRACE_MS);
    const allowed = limit * BOUND_WINDOW_MS / 1000 * OVERAGE_FACTOR + SLACK_REQUESTS;
    assert.ok(maxArrivalsInWindow(arrivals) <= allowed, `${maxArrivalsInWindow(arrivals)} in 4 s, ${allowed} allowed`);
    return arrivals;
};

// Guards against exceeding the rate limit that an upstream states in its responses: no daemon read the header.
test("limit: an upstream that states one under load gets no more from all hosts together, and the others serve the rest", async () => {
    await withPlatform(async mesh => {
        await Promise.all(["pages-1", "pages-2"].map(name => mesh.controlInstance(name, { workMs: MODERATE_WORK_MS })));
        const loadResult = runPlatformLoad(mesh, { requestsPerSecond: LOAD_PER_SECOND, durationMs: 8000 });
        await pause(1000);
        await mesh.controlInstance("pages-1", { limit: String(LIMIT_PER_SECOND) });
        const { sent, served } = await loadResult;
        const times = assertWithinBound(mesh);
        assert.ok(arriveInEachWindow(times), `requests arrive in each window: ${times.join()}`);
        assert.ok(served >= sent * 0.98, `${served} of ${sent}`);
    });
});

test("limit: where the others have no room for the rest, it gets nearly all that it takes, and what is refused is told when to come back", async () => {
    await withPlatform(async mesh => {
        await Promise.all(
            ["pages-1", "pages-2"].map(name => mesh.controlInstance(name, { workMs: SATURATING_WORK_MS })),
        );
        const loadResult = runPlatformLoad(mesh, { requestsPerSecond: LOAD_PER_SECOND, durationMs: 8000 });
        await pause(1000);
        await mesh.controlInstance("pages-1", { limit: String(LIMIT_PER_SECOND) });
        await pause(3000);
        const responses = await Promise.all(
            Array.from({ length: 40 }, (_, index) => mesh.send("pages-2", "GET", "/pages/1", `more-${index}`)),
        );
        await loadResult;
        const times = assertWithinBound(mesh);
        assert.ok(
            times.length >= LIMIT_PER_SECOND * 6 * 0.8,
            `${times.length} requests reached the limited instance in 6.5 s`,
        );
        const refused = responses.filter(({ status }) => status === 503);
        assert.ok(refused.length > 0 && refused.every(({ headers }) => Number(headers["retry-after"]) > 0));
    });
});

// Guards against a restarted daemon that no longer knows the limit and exceeds it, while the hosts that forwarded it
// are bound by it.
test("limit: it holds beside a daemon that was killed and has started again, as often as that happens", async () => {
    await withPlatform(async mesh => {
        const hostNames = mesh.hosts.map(({ name }) => name).filter(name => name !== "pages-1");
        await mesh.controlInstance("pages-2", { workMs: LONG_WORK_MS });
        const loadResult = runPlatformLoad(mesh, { hostNames, requestsPerSecond: LOAD_PER_SECOND, durationMs: 9000 });
        await pause(1000);
        await mesh.controlInstance("pages-1", { limit: String(LOW_LIMIT_PER_SECOND), workMs: LONG_WORK_MS });
        await pause(1500);
        for (let restart = 0; restart < 3; restart++) {
            await pause(500);
            await mesh.daemons.get("pages-1")!.end("SIGKILL");
            await mesh.startDaemon("pages-1").ready();
        }
        await loadResult;
        assertWithinBound(mesh, LOW_LIMIT_PER_SECOND);
    });
});

test("limit: where all of a service state one, callers are told at once when to come back, and urgent ones are served first", async () => {
    await withPlatform(async mesh => {
        const urgentRule = { ...rule("first", "/first/"), priority: 0 };
        await mesh.configure(platformConfiguration(7, [urgentRule, { ...rule("last", "/last/"), priority: 2 }]));
        await eventually(
            "the rules are in force",
            async () => (await mesh.send("pages-1", "GET", "/first/1", "first")).status === 200,
        );
        await Promise.all(
            ["pages-1", "pages-2"].map(name => mesh.controlInstance(name, { limit: String(LIMIT_PER_SECOND) })),
        );
        await runPlatformLoad(mesh, { requestsPerSecond: 20, durationMs: 1500 });
        const [urgent, other] = await Promise.all(
            ["/first/1", "/last/1"].map(path =>
                runPlatformLoad(mesh, { path, requestsPerSecond: LIMIT_PER_SECOND * 2, durationMs: 5000 })
            ),
        );
        assertWithinBound(mesh, LIMIT_PER_SECOND * 2);
        assert.ok(urgent!.served >= other!.served * 2, `${urgent!.served} urgent, ${other!.served} others`);
        assert.ok(
            urgent!.served + other!.served >= LIMIT_PER_SECOND * 2 * 5 * 0.7,
            `${urgent!.served + other!.served} served`,
        );
        const responses = await Promise.all(
            Array.from({ length: 20 }, (_, index) => mesh.send("pages-1", "GET", "/last/1", `told-${index}`)),
        );
        const refused = responses.filter(({ status }) => status === 503);
        assert.ok(refused.length >= 10, `${refused.length} are refused`);
        assert.ok(refused.every(({ headers }) => Number(headers["retry-after"]) > 0));
    });
});

test("limit: values that can't be read are named in the log, and what was stated before holds until an answer without one", async () => {
    await withPlatform(async mesh => {
        await Promise.all(["pages-1", "pages-2"].map(name => mesh.controlInstance(name, { workMs: MODERATE_WORK_MS })));
        await mesh.controlInstance("pages-1", { limit: String(LIMIT_PER_SECOND) });
        await runPlatformLoad(mesh, { requestsPerSecond: LOAD_PER_SECOND, durationMs: 1000 });
        const loadResult = runPlatformLoad(mesh, { requestsPerSecond: LOAD_PER_SECOND, durationMs: 8000 });
        for (const limit of ["abc", "-1", "1e999", "7.8;9"]) {
            await mesh.controlInstance("pages-1", { limit });
            await pause(2000);
        }
        await loadResult;
        assertWithinBound(mesh);
        const unreadableLimitLines = mesh.log.filter(line => line.includes("limit can't be read"));
        assert.ok(
            unreadableLimitLines.length > 0
                && unreadableLimitLines.every(line => line.includes("\"field\":\"server-limit\"")),
            `${unreadableLimitLines.length} lines; each must name the field server-limit`,
        );
        await mesh.controlInstance("pages-1", { limit: "" });
        await runPlatformLoad(mesh, { requestsPerSecond: LOAD_PER_SECOND, durationMs: 4000 });
        assert.ok(mesh.log.some(line => line.includes("The upstream no longer states a rate limit")));
    });
});

test("limit: one that states 0 gets no more than what finds out that it takes requests again", async () => {
    await withPlatform(async mesh => {
        await Promise.all(["pages-1", "pages-2"].map(name => mesh.controlInstance(name, { workMs: MODERATE_WORK_MS })));
        const loadResult = runPlatformLoad(mesh, { requestsPerSecond: LOAD_PER_SECOND, durationMs: 9000 });
        await pause(500);
        await mesh.controlInstance("pages-1", { limit: "0" });
        await pause(6000);
        assert.ok(arrivalsWhileLimited(mesh).length > 0, "the instance has stated the limit 0");
        assertWithinBound(mesh, 0);
        await mesh.controlInstance("pages-1", { limit: "", saysOnHealth: true });
        const { sent, served } = await loadResult;
        assert.ok(served >= sent * 0.98, `${served} of ${sent}`);
        await eventually("the instance is used again", async () => {
            const lineCountBefore = mesh.instanceLines.length;
            await runPlatformLoad(mesh, { requestsPerSecond: LOAD_PER_SECOND, durationMs: 1000 });
            return mesh.instanceLines.length - lineCountBefore >= LOAD_PER_SECOND * 0.95 && isLimitEnded(mesh);
        }, 2000);
    });
});
