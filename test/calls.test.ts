/** Upstreams make calls during their runs, and go on with them when the run's own caller has left. */
import assert from "node:assert/strict";
import { test } from "node:test";
import { pause } from "./pause.js";
import { sendAndAbort } from "./sendandabort.js";
import { withPlatform } from "./withplatform.js";

const CLIENTS = 3;
const LEAVE_AFTER_MS = 50;
/** Longer than the users' bound on the time from a client's leaving to the last run that may begin for it. */
const BUSY_MS = 700;
const SETTLE_MS = 1500;
/** Twice the slots of an instance, for each of the two that serve the calls. */
const FILLERS = 16;

// Guards against work for clients that have left (GONE): each daemon of a chain noticed the leaving after the one before it.
test("calls: a call that waits for an upstream does not run once the caller of its run has left", async () => {
    await withPlatform(async mesh => {
        const { ip } = mesh.host("pages-1");
        const busy = ["fees-1", "fees-2"].map(name => mesh.controlInstance(name, { workMs: BUSY_MS }));
        const calling = ["pages-1", "pages-2"].map(name =>
            mesh.controlInstance(name, { workMs: 0, callUrl: `http://${mesh.host(name).ip}:7104/fees/1` })
        );
        await Promise.all([...busy, ...calling]);
        const fillers = Array.from(
            { length: FILLERS },
            (_, index) => mesh.send("fees-1", "POST", "/fees/1", `filler-${index}`),
        );
        await pause(LEAVE_AFTER_MS);
        const ids = Array.from({ length: CLIENTS }, (_, index) => `left-${index}`);
        await Promise.all(ids.map(id => sendAndAbort({ ip, path: "/pages/1", id }, LEAVE_AFTER_MS)));
        await Promise.all(fillers);
        await pause(SETTLE_MS);
        assert.ok(ids.some(id => mesh.runsOf(id) > 0), "the requests began to run");
        assert.deepEqual(ids.filter(id => mesh.runsOf(`${id}.1`) > 0), [], "their calls did not");
    });
});
