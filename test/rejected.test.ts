import assert from "node:assert/strict";
import { test } from "node:test";
import { readMetric } from "../demo/readmetric.js";
import { runCli } from "../demo/runcli.js";
import { allServe } from "./allserve.js";
import { eventually } from "./eventually.js";
import { platformConfiguration } from "./platformconfiguration.js";
import type { PlatformMesh } from "./platformmesh.js";
import { withPlatform } from "./withplatform.js";

const KEY = "the-secret-key-of-a-team";
const REJECTED = "winglock_configuration_rejected";

const operators = (mesh: PlatformMesh): string[] => mesh.hosts.map(({ ip }) => `${ip}:7105`);

const countRejecting = async (mesh: PlatformMesh): Promise<number> => {
    const values = await Promise.all(operators(mesh).map(operator => readMetric(operator, REJECTED)));
    return values.reduce((sum, value) => sum + value, 0);
};

const statusText = async (mesh: PlatformMesh): Promise<string> =>
    (await runCli(operators(mesh).slice(-1), ["status"])).stdout;

test("rejected: an invalid document is visible in status, log and metric without any key, until a valid one is applied", async () => {
    await withPlatform(async mesh => {
        const tenants = [{ name: "a", apiKeys: [KEY], priority: "high" }];
        await mesh.configure({ ...platformConfiguration(5), tenants });
        await eventually("a daemon reports the rejection", async () => await countRejecting(mesh) > 0, 3000);
        assert.match(await statusText(mesh), /rejected for \d+ s:\n +tenants\.0\.priority: /);
        assert.equal(await allServe(mesh, "/pages/1"), true, "the last valid document stays in force");
        await mesh.putAsOperator("op/config", `{"tenants":[{"apiKeys":["${KEY}"`);
        await eventually(
            "the new reason is shown",
            async () => /text is not JSON/.test(await statusText(mesh)),
            3000,
        );
        await mesh.configure(platformConfiguration(6));
        await eventually("no daemon rejects the document", async () => await countRejecting(mesh) === 0, 3000);
        assert.doesNotMatch(await statusText(mesh), /rejected/);
        const log = mesh.log.join("\n");
        assert.match(log, /tenants\.0\.priority/);
        assert.doesNotMatch(log, new RegExp(KEY));
    });
});
