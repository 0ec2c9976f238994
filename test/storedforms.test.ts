import assert from "node:assert/strict";
import { test } from "node:test";
import { allServe } from "./allserve.js";
import { eventually } from "./eventually.js";
import { platformConfiguration } from "./platformconfiguration.js";
import { withPlatform } from "./withplatform.js";

/** The platform's bound from the acknowledgement of a change until it is in force. */
const APPLY_MS = 2000;

const rule = {
    name: "by_share",
    host: "site.example",
    pathPrefix: "/shared/",
    kind: "repeatable",
    timeLimitMs: 612.5,
    targetMs: 62.5,
    priority: 1,
    split: [{ service: "pages", weight: 0.2 }, { service: "fees", weight: 0.8 }],
    maxTries: 2,
};

// Guards against a stored configuration that keeps all daemons on the former one for good: its numbers are no integers.
test("stored forms: a configuration with fractions is in force at each daemon, and those after it", async () => {
    await withPlatform(async mesh => {
        await mesh.configure(platformConfiguration(5, [rule]));
        await eventually("all daemons serve the split", () => allServe(mesh, "/shared/1"), APPLY_MS);
        await mesh.configure(platformConfiguration(6, [rule, { ...rule, name: "later", pathPrefix: "/later/" }]));
        await eventually("all daemons serve the later rule", () => allServe(mesh, "/later/1"), APPLY_MS);
        const responses = await Promise.all(
            Array.from({ length: 50 }, (_, index) => mesh.send("pages-1", "GET", "/shared/2", `share-${index}`)),
        );
        const pages = responses.filter(item => String(item.headers["server-signature"]).includes("of-i-pages"));
        assert.ok(pages.length >= 8 && pages.length <= 12, `${pages.length} of 50 at the service of weight 0.2`);
    });
});
