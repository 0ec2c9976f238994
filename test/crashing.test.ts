/**
 * Seen: one request of a service that was asked again and again, at all hosts, ended each instance that began to run it. 33 instances of
 * one service ended in 70 s, thirteen of them under the same request, and two in three of that service's callers were not served.
 *
 * How it came about: when its caller came again the request was placed like any other, and what broke off with an instance was sent to
 * another one besides. Cause: a daemon knew of an instance that it had ended, and of a request nothing. Proved by these tests, and by a
 * daemon's lines of instances that end: they name the same request each time.
 */
import assert from "node:assert/strict";
import { test } from "node:test";
import { CrashMesh } from "./crashmesh.js";

/** Operators' bound: so long after the third instance has ended, daemons in touch send it on three times more at the most. */
const CONTACT_MS = 3000;
const MOST_AFTER = 3;
/** Long enough that instances which are sent the request end many times. */
const STORM_MS = 6000;

test("crashing: a request that has ended three instances reaches at most three more after the bound, at whichever host it comes", async () => {
    await CrashMesh.with(async crash => {
        await crash.sendFor(CONTACT_MS);
        assert.ok(crash.ended >= 3, `${crash.ended} instances have ended`);
        await crash.sendFor(CONTACT_MS);
        const before = crash.runs;
        await crash.sendFor(STORM_MS);
        const after = crash.runs - before;
        assert.ok(after <= MOST_AFTER, `sent to instances ${after} times more, ${crash.ended} ended in all`);
    });
});
