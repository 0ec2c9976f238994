import assert from "node:assert/strict";
import { readFileSync } from "node:fs";
import { test } from "node:test";
import { pause } from "./pause.js";
import { platformConfiguration } from "./platformconfiguration.js";
import type { PlatformMesh } from "./platformmesh.js";
import type { PlatformResponse } from "./platformresponse.js";
import { withPlatform } from "./withplatform.js";

const GRACE_S = 6;
const SEND_EVERY_MS = 60;

/** Allows requests of 4 s to the service, with the path `/slow-SERVICE/`. */
const slowRule = (service: string): object => ({
    name: `slow-${service}`,
    host: "site.example",
    pathPrefix: `/slow-${service}/`,
    kind: "repeatable",
    timeLimitMs: 4000,
    targetMs: 1000,
    priority: 1,
    service,
    maxTries: 1,
});

/** Returns the stop settings of the deployed template, as the platform fills it in. */
const deployedStop = (): unknown => {
    const template = readFileSync(new URL("../../deploy/settings.json", import.meta.url), "utf8");
    const [, stop] = /"stop": (\{.*\})/.exec(template)!;
    return JSON.parse(
        stop!.replaceAll(/\{\{[#/]bounds\.graceS\}\}/g, "").replaceAll("{{bounds.graceS}}", `${GRACE_S}`),
    );
};

const wasCut = (mesh: PlatformMesh, id: string, { status }: PlatformResponse): boolean =>
    status === 0 && mesh.runsOf(id) > 0;

// Guards against a stop whose time limit ignores the grace time that the supervisor grants.
test("stop: a request that its upstream ends within the grace time is answered", async () => {
    await withPlatform(async mesh => {
        await mesh.configure(platformConfiguration(2, [slowRule("pages")]));
        await Promise.all(["pages-1", "pages-2"].map(name => mesh.controlInstance(name, { workMs: 2500 })));
        await pause(500);
        const exitCode = mesh.daemons.get("fees-1")!.end("SIGTERM", GRACE_S * 1000);
        await pause(2200);
        const response = await mesh.send("fees-1", "GET", "/slow-pages/1", "late", 4000);
        assert.equal(response.status, 200);
        assert.equal(await exitCode, 0);
    }, { settings: { stop: deployedStop() } });
});

// Guards against requests that arrive late in a stop, are passed on and then cut off by its end.
test("stop: requests that arrive until a busy daemon is gone are answered or refused, and none is cut off", async () => {
    await withPlatform(async mesh => {
        await mesh.configure(platformConfiguration(2, [slowRule("fees")]));
        await Promise.all(["pages-1", "pages-2"].map(name => mesh.controlInstance(name, { workMs: 300 })));
        await Promise.all(["fees-1", "fees-2"].map(name => mesh.controlInstance(name, { workMs: 3500 })));
        await pause(500);
        // Keep the gate of the stopping daemon busy until the time limit of the stop.
        const own = Array.from({ length: 8 }, (_, index) => `own-${index}`);
        void Promise.all(own.map(id => mesh.send("fees-2", "GET", "/slow-fees/1", id, 4000)));
        await pause(100);
        const daemon = mesh.daemons.get("fees-1")!;
        const exitCode = daemon.end("SIGTERM");
        const responses: Promise<readonly [string, PlatformResponse]>[] = [];
        for (let index = 0; daemon.running; index++) {
            const id = `during-${index}`;
            responses.push(mesh.send("fees-1", "GET", "/pages/1", id).then(response => [id, response] as const));
            await pause(SEND_EVERY_MS);
        }
        assert.equal(await exitCode, 0);
        const ended = await Promise.all(responses);
        assert.deepEqual(ended.filter(([id, response]) => wasCut(mesh, id, response)).map(([id]) => id), []);
        const refused = ended.filter(([, { status }]) => status === 503);
        assert.ok(refused.length > 0 && refused.every(([, { headers }]) => Number(headers["retry-after"]) > 0));
        assert.ok(ended.filter(([, { status }]) => status === 200).length > 5);
    }, { settings: { stop: { lingerMs: 500, limitMs: 1500 } } });
});
