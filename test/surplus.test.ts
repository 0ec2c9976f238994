import assert from "node:assert/strict";
import { test } from "node:test";
import type { InstanceControl } from "../standin/instancecontrol.js";
import { runPlatformLoad } from "./runplatformload.js";
import { withPlatform } from "./withplatform.js";

const load = { method: "POST", path: "/fees/1", requestsPerSecond: 100, durationMs: 8000 };
/** Statuses with which the daemon promises that the request has not run. */
const PROMISES = [408, 421, 429, 503];

/** Allows as many retries as the load causes, so that refused requests return to the instances. */
const settings = { policy: { profile: "frugal", relief: false, limit: "learned", retryBurst: 1000 } };

const cases: Readonly<Record<string, Partial<InstanceControl>>> = {
    "refusals with their ids": { shedShare: 0.5, surplusShare: 0.5 },
    "refusals without an id": { shedShare: 0.5, surplusShare: 0.5, surplusHasId: false },
    "misdirected responses": { shedShare: 0.5, surplusShare: 0.5, surplusStatus: 421 },
    "refusals and successes": { shedShare: 0.2, surplusShare: 0.5 },
};

for (const [name, control] of Object.entries(cases)) {
    // Guards against requests that ran twice, or were answered 503 though they ran, because a surplus refusal was taken
    // for the response to the next request on the connection.
    test(`surplus: ${name} prove nothing of the next request on their connection`, async () => {
        await withPlatform(async mesh => {
            const instances = mesh.hosts.filter(({ service }) => service === "fees");
            await Promise.all(instances.map(host => mesh.controlInstance(host.name, control)));
            const { sent, served, responses } = await runPlatformLoad(mesh, load);
            const ranTwice = responses.filter(({ id }) => mesh.runsOf(id) > 1);
            assert.deepEqual(ranTwice, [], "no request ran twice");
            const brokenPromises = responses.filter(({ id, status }) =>
                PROMISES.includes(status) && mesh.runsOf(id) > 0
            );
            assert.deepEqual(brokenPromises, [], "no request ran that was answered with a promise that it did not");
            assert.ok(served > sent / 4, `${served} of ${sent} served`);
        }, { settings });
    });
}
