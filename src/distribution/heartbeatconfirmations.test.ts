import assert from "node:assert/strict";
import { test } from "node:test";
import { HeartbeatConfirmations } from "./heartbeatconfirmations.js";

const ticked = (intervalMs: number | undefined, until: number): HeartbeatConfirmations => {
    const confirmations = new HeartbeatConfirmations(intervalMs);
    for (let now = 0; now <= until; now += 200) {
        confirmations.tick(now);
    }
    return confirmations;
};

// Guards against a paused daemon that takes an old heartbeat from its socket for a recent confirmation.
test("confirmations: under strict revocation heartbeats read after a pause confirm nothing", () => {
    const strict = ticked(500, 1000);
    assert.equal(strict.confirmedAt(30, 1100), 1070);
    assert.equal(strict.confirmedAt(30, 6000), -Infinity, "read before the first timer after the pause");
    strict.tick(6010);
    assert.equal(strict.confirmedAt(30, 6100), -Infinity, "read just after it");
    strict.tick(6210);
    assert.equal(strict.confirmedAt(30, 6220), 6190);
    assert.equal(ticked(undefined, 1000).confirmedAt(30, 6000), 5970, "without strict revocation nothing changes");
});

test("confirmations: a new confirmation is passed on at once, at most twice in an interval, if revocation is strict", () => {
    const strict = ticked(500, 0);
    assert.equal(strict.shouldSend(10, 20), true);
    assert.equal(strict.shouldSend(10, 900), false);
    assert.equal(strict.shouldSend(600, 900), true);
    assert.equal(strict.shouldSend(700, 1000), false);
    assert.equal(strict.shouldSend(700, 1150), true);
    assert.equal(ticked(undefined, 0).shouldSend(10, 20), false);
});
