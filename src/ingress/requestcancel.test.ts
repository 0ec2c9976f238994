import assert from "node:assert/strict";
import { EventEmitter } from "node:events";
import { test } from "node:test";
import { Cancellation } from "../http/cancellation.js";
import type { CallerResponse } from "./callerresponse.js";
import { RequestCancel } from "./requestcancel.js";

const DEADLINE_MS = 1000;

/** Creates the cancellation of a request that arrived at time 0, and what it observes. */
const createCancel = (runCancel?: Cancellation) => {
    const closes = new EventEmitter();
    const onClose = (listener: () => void): () => void => {
        closes.on("close", listener);
        return () => closes.removeListener("close", listener);
    };
    const cancel = new RequestCancel({ onClose } as CallerResponse, { deadline: DEADLINE_MS, runCancel }, 0);
    return { cancel, closes };
};

test("request cancel: it aborts when the caller leaves", () => {
    const { cancel, closes } = createCancel();
    assert.equal(cancel.cancellation.aborted, false);
    closes.emit("close");
    assert.equal(cancel.cancellation.aborted, true);
    assert.equal(cancel.isDeadlinePassed, false);
    cancel.end();
});

test("request cancel: it aborts at the deadline, unless the response is streamed", t => {
    t.mock.timers.enable({ apis: ["setTimeout"] });
    const { cancel: waiting } = createCancel();
    const { cancel: streamed } = createCancel();
    streamed.clearDeadline();
    t.mock.timers.tick(DEADLINE_MS);
    assert.deepEqual([waiting.cancellation.aborted, waiting.isDeadlinePassed], [true, true]);
    assert.deepEqual([streamed.cancellation.aborted, streamed.isDeadlinePassed], [false, false]);
});

test("request cancel: it aborts with the run that makes the call, also if that was cancelled before", () => {
    const runCancel = new Cancellation();
    const { cancel: before } = createCancel(runCancel);
    assert.deepEqual([before.cancellation.aborted, before.isRunCancelled], [false, false]);
    runCancel.abort();
    const { cancel: after } = createCancel(runCancel);
    for (const cancel of [before, after]) {
        assert.deepEqual([cancel.cancellation.aborted, cancel.isRunCancelled], [true, true]);
        assert.equal(cancel.isDeadlinePassed, false);
        cancel.end();
    }
});

test("request cancel: it observes nothing after its end", () => {
    const runCancel = new Cancellation();
    const { cancel, closes } = createCancel(runCancel);
    cancel.end();
    runCancel.abort();
    closes.emit("close");
    assert.equal(cancel.cancellation.aborted, false);
    assert.equal(runCancel.listenerCount("abort") + closes.listenerCount("close"), 0);
});
