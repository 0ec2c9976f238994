import assert from "node:assert/strict";
import { test } from "node:test";
import { eventually } from "./eventually.js";
import { platformConfiguration } from "./platformconfiguration.js";
import type { PlatformMesh } from "./platformmesh.js";
import type { PlatformResponse } from "./platformresponse.js";
import { sendAndAbort } from "./sendandabort.js";
import { withPlatform } from "./withplatform.js";

const REQUESTS = 200;
/** Three standard deviations of the share in 200 requests that are split at random with equal weights, rounded up. */
const SHARE_TOLERANCE = 0.11;

/** The users' bound on a new connection at a daemon that reports that it is ready. */
const ACCEPT_BOUND_MS = 3000;
const CONNECTIONS_PER_ROUND = 60;

const splitRule = {
    name: "split",
    host: "site.example",
    pathPrefix: "/split/",
    kind: "repeatable",
    split: [{ service: "pages", weight: 1 }, { service: "fees", weight: 1 }],
    timeLimitMs: 500,
    targetMs: 200,
    maxTries: 2,
    priority: 1,
};

const serviceOf = (response: PlatformResponse): string =>
    /^of-i-(\w+)-/.exec(String(response.headers["server-signature"] ?? ""))?.[1] ?? "none";

/** Sends requests for the split rule, one to each daemon at a time; returns the share that each service answered. */
const measureShares = async (
    mesh: PlatformMesh,
    name: string,
): Promise<{ readonly pages: number; readonly fees: number; }> => {
    const counts: Record<string, number> = { pages: 0, fees: 0, none: 0 };
    for (let sent = 0; sent < REQUESTS; sent += mesh.hosts.length) {
        const responses = await Promise.all(
            mesh.hosts.map((host, index) =>
                mesh.send(host.name, "GET", `/split/${name}`, `${name}-${sent + index}`, 500)
            ),
        );
        responses.forEach(response => counts[serviceOf(response)]! += 1);
    }
    return { pages: counts["pages"]! / REQUESTS, fees: counts["fees"]! / REQUESTS };
};

test("callers: requests for a saturated service of a split are refused and not sent to the other service", async () => {
    await withPlatform(async mesh => {
        await mesh.configure(platformConfiguration(5, [splitRule]));
        await eventually(
            "the split rule serves requests",
            async () => (await mesh.send("fees-1", "GET", "/split/1", "warm")).status === 200,
        );
        const even = await measureShares(mesh, "even");
        assert.ok(
            Math.abs(even.pages - 0.5) < SHARE_TOLERANCE && Math.abs(even.fees - 0.5) < SHARE_TOLERANCE,
            JSON.stringify(even),
        );
        const pages = mesh.hosts.filter(({ service }) => service === "pages");
        await Promise.all(pages.map(({ name }) => mesh.controlInstance(name, { workMs: 5000 })));
        const saturated = await measureShares(mesh, "short");
        assert.equal(saturated.pages, 0);
        assert.ok(
            Math.abs(saturated.fees - 0.5) < SHARE_TOLERANCE,
            `refused requests were sent to the other service: ${JSON.stringify(saturated)}`,
        );
    });
});

test("callers: no request reaches an upstream later than half a second after its client has disconnected", async () => {
    await withPlatform(async mesh => {
        const pages = mesh.hosts.filter(({ service }) => service === "pages");
        await Promise.all(pages.map(({ name }) => mesh.controlInstance(name, { workMs: 800 })));
        const { ip } = mesh.host("fees-1");
        const disconnected = Array.from(
            { length: 24 },
            (_, index) => sendAndAbort({ ip, path: "/pages/1", id: `gone-${index}` }, 100),
        );
        await Promise.all(disconnected);
        await new Promise(resolve => setTimeout(resolve, 500));
        const runCount = mesh.instanceLines.length;
        await new Promise(resolve => setTimeout(resolve, 1500));
        assert.equal(
            mesh.instanceLines.length,
            runCount,
            "no request starts half a second after the clients have disconnected",
        );
    });
});

test("callers: a ready daemon accepts many new connections at once, also while its service is saturated", async () => {
    await withPlatform(async mesh => {
        const pages = mesh.hosts.filter(({ service }) => service === "pages");
        await Promise.all(pages.map(({ name }) => mesh.controlInstance(name, { workMs: 2000 })));
        for (let round = 0; round < 3; round++) {
            const sentAt = performance.now();
            const responses = await Promise.all(
                Array.from(
                    { length: CONNECTIONS_PER_ROUND },
                    (_, index) =>
                        mesh.send("pages-1", "GET", "/pages/1", `new-${round}-${index}`, 1000, { connection: "close" }),
                ),
            );
            assert.ok(performance.now() - sentAt < ACCEPT_BOUND_MS);
            assert.ok(responses.every(({ status }) => status > 0), "each request has a response");
            assert.equal(await mesh.isReady("pages-1"), true);
        }
    });
});

test("callers: an upstream receives the service of the caller's host, whatever the caller claims", async () => {
    await withPlatform(async mesh => {
        for (const claimed of ["fees", "nobody", ""]) {
            const response = await mesh.send("pages-1", "GET", "/pages/1", "forged", 1000, {
                "caller-service": claimed,
            });
            assert.equal(response.status, 200);
            assert.equal((JSON.parse(response.text) as { caller: string; }).caller, "pages");
        }
    });
});
