import assert from "node:assert/strict";
import { test } from "node:test";
import type { InstanceControl } from "../standin/instancecontrol.js";
import { pause } from "./pause.js";
import { withPlatform } from "./withplatform.js";

const MS_PER_SECOND = 1000;
const REQUESTS_PER_SECOND = 100;
const SECONDS = 8;
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
            const names = mesh.hosts.map(host => host.name);
            const instances = names.filter(host => host.startsWith("fees"));
            await Promise.all(instances.map(host => mesh.controlInstance(host, control)));
            const startedAt = performance.now();
            const pending = [];
            for (let index = 0; index < SECONDS * REQUESTS_PER_SECOND; index++) {
                await pause(Math.max(0, startedAt + index * MS_PER_SECOND / REQUESTS_PER_SECOND - performance.now()));
                const id = `post-${index}`;
                const host = names[index % names.length]!;
                pending.push(mesh.send(host, "POST", "/fees/1", id).then(({ status }) => ({ id, status })));
            }
            const responses = await Promise.all(pending);
            const ranTwice = responses.filter(({ id }) => mesh.runsOf(id) > 1);
            assert.deepEqual(ranTwice, [], "no request ran twice");
            const brokenPromises = responses.filter(({ id, status }) =>
                PROMISES.includes(status) && mesh.runsOf(id) > 0
            );
            assert.deepEqual(brokenPromises, [], "no request ran that was answered with a promise that it did not");
            const served = responses.filter(({ status }) => status === 200);
            assert.ok(served.length > responses.length / 4, `${served.length} of ${responses.length} served`);
        }, { settings });
    });
}
