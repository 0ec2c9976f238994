import assert from "node:assert/strict";
import { test } from "node:test";
import { setImmediate as nextTurn } from "node:timers/promises";
import { pause } from "../../test/pause.js";
import { UnreadMonitor } from "../time/unreadmonitor.js";
import { AcceptMonitor } from "./acceptmonitor.js";

const SETTLE_MS = 150;
/** A turn of this length is no stall. */
const TURN_MS = 20;
const CONNECTIONS = 20;

const clock = (): number => performance.now();

const work = (ms: number): void => {
    const endAt = clock() + ms;
    while (clock() < endAt);
};

const withMonitors = async (body: (accepts: AcceptMonitor) => Promise<void>): Promise<void> => {
    const unread = new UnreadMonitor(clock);
    unread.start();
    try {
        await pause(SETTLE_MS);
        await body(new AcceptMonitor(unread));
    }
    finally {
        unread.stop();
    }
};

// Guards against work for clients that have left (GONE): a queue of connections is as old as its length times the turn.
test("accept monitor: a connection may have waited as long as one was accepted in each turn", async () => {
    await withMonitors(async accepts => {
        const startedAt = clock();
        for (let count = 0; count < CONNECTIONS; count++) {
            accepts.recordAccepted(clock());
            work(TURN_MS);
            await nextTurn();
        }
        assert.ok(accepts.acceptedUpTo(clock()) <= startedAt);
        assert.equal(accepts.isAccepting, true);
    });
});

test("accept monitor: a poll that accepted no connection shows that none waits", async () => {
    await withMonitors(async accepts => {
        accepts.recordAccepted(clock());
        assert.equal(accepts.isAccepting, true);
        await pause(SETTLE_MS);
        assert.equal(accepts.isAccepting, false);
        assert.ok(clock() - accepts.acceptedUpTo(clock()) < SETTLE_MS);
    });
});
