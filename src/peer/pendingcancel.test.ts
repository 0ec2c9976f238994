import assert from "node:assert/strict";
import { test } from "node:test";
import { LinkEnds } from "../../test/linkends.js";
import type { ServedCall } from "../link/servedcall.js";
import { UnreadMonitor } from "../time/unreadmonitor.js";
import { PendingCancel } from "./pendingcancel.js";

const NOW_MS = 10_000;
const REMAINING_MS = 900;

/** Settles a request that its sender sent at this time, if that is known; returns the times of its checks in milliseconds. */
const settle = async (gateTime: number | undefined): Promise<number[]> => {
    const clock = (): number => NOW_MS;
    const checks: number[] = [];
    const { head } = LinkEnds.call();
    const checkCaller = async (timeoutMs: number): Promise<void> => void checks.push(timeoutMs);
    const call = { head: { ...head, gateTime, remainingMs: REMAINING_MS }, checkCaller } as ServedCall;
    await new PendingCancel(clock, new UnreadMonitor(clock)).settle(call);
    return checks;
};

// Guards against work for clients that have left (GONE): a gate ran what its sender had not told it to cancel yet.
test("pending cancel: the sender of a request that was delayed for long is asked, within the deadline", async () => {
    assert.deepEqual(await settle(NOW_MS - 600), [REMAINING_MS - 600]);
});

test("pending cancel: the sender of a request that was not delayed for long is not asked", async () => {
    assert.deepEqual(await settle(NOW_MS - 1), []);
    assert.deepEqual(await settle(NOW_MS - 300), []);
    assert.deepEqual(await settle(undefined), []);
});
