/**
 * Instances respond without a length while their daemons stand still, so that the response and the end of its connection
 * are read at once. SIGSTOP stands for any time in which a process gets no processor time.
 */
import assert from "node:assert/strict";
import { test } from "node:test";
import type { InstanceControl } from "../standin/instancecontrol.js";
import { eventually } from "./eventually.js";
import { pause } from "./pause.js";
import type { PlatformMesh } from "./platformmesh.js";
import type { PlatformResponse } from "./platformresponse.js";
import { withPlatform } from "./withplatform.js";

const REQUESTS = 8;
const SERVICE_HOSTS = ["pages-1", "pages-2"];
/** The daemons stand still by the time at which an instance responds. */
const WORK_MS = 40;
/** The response and the end of its connection have arrived by then. */
const STANDSTILL_MS = 120;
const TIME_LIMIT_MS = 2000;
const SETTLE_MS = 200;

/** Sends a request, and stops the daemons of the instances from when one of these runs it until it has responded. */
const sendAndStop = async (mesh: PlatformMesh, ingress: string, id: string): Promise<PlatformResponse> => {
    const response = mesh.send(ingress, "GET", "/pages/1", id, TIME_LIMIT_MS);
    await eventually(`${id} runs`, async () => mesh.runsOf(id) > 0, TIME_LIMIT_MS);
    const daemons = SERVICE_HOSTS.map(name => mesh.daemons.get(name)!);
    daemons.forEach(daemon => daemon.signal("SIGSTOP"));
    await pause(STANDSTILL_MS);
    daemons.forEach(daemon => daemon.signal("SIGCONT"));
    return await response;
};

/** Returns how many of the requests were answered with a success, although each response of an instance has the fault. */
const countSuccesses = async (ingress: string, fault: InstanceControl["fault"]): Promise<number> => {
    let successes = 0;
    await withPlatform(async mesh => {
        await Promise.all(SERVICE_HOSTS.map(name => mesh.controlInstance(name, { fault, workMs: WORK_MS })));
        for (let index = 0; index < REQUESTS; index++) {
            const { status } = await sendAndStop(mesh, ingress, `${fault}-${index}`);
            successes += status === 200 ? 1 : 0;
            await pause(SETTLE_MS);
        }
    });
    return successes;
};

for (const ingress of ["pages-1", "fees-1"]) {
    // Guards against a part of a response that is served as a whole one (MIXED).
    test(`cut responses: no response that was reset while the daemon stood still is served, sent to ${ingress}`, async () => {
        assert.equal(await countSuccesses(ingress, "unframed-reset"), 0);
    });

    // Guards against a check of the connection that rejects whole responses without a length, too.
    test(`cut responses: a response that ended in order while the daemon stood still is served, sent to ${ingress}`, async () => {
        const successes = await countSuccesses(ingress, "unframed-end");
        assert.ok(successes >= REQUESTS / 2, `${successes} of ${REQUESTS}`);
    });
}
