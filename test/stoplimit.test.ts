import assert from "node:assert/strict";
import { readFileSync } from "node:fs";
import { test } from "node:test";
import { pause } from "./pause.js";
import { platformConfiguration } from "./platformconfiguration.js";
import { withPlatform } from "./withplatform.js";

const GRACE_S = 6;

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
