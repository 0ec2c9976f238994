import assert from "node:assert/strict";
import { test } from "node:test";
import type { TeamName } from "../ids/teamname.js";
import { LevelClock } from "../policy/admission/levelclock.js";
import { WorkTime } from "../policy/admission/worktime.js";
import { CallContexts } from "./callcontexts.js";

const work = new WorkTime(new LevelClock(1, 0), 0);
const details = { deadline: 1000, team: "default" as TeamName, depth: 0, isRepeat: false, work };

// Guards against work for clients that have left (GONE): a call that is read after its run has been cancelled looked like a first request.
test("call contexts: a cancelled run is remembered by its token and by its request", () => {
    const contexts = new CallContexts();
    const context = contexts.open("a", details);
    assert.equal(contexts.wasCancelled(context.token, ["a"]), false, "while it runs");
    contexts.close(context, true);
    assert.equal(contexts.wasCancelled(context.token, []), true);
    assert.equal(contexts.wasCancelled(undefined, ["a"]), true);
    assert.equal(contexts.wasCancelled(undefined, ["b"]), false);
});

test("call contexts: a run that was served is not remembered", () => {
    const contexts = new CallContexts();
    const context = contexts.open("a", details);
    contexts.close(context, false);
    assert.equal(contexts.wasCancelled(context.token, ["a"]), false);
});

test("call contexts: a request that runs again is not cancelled", () => {
    const contexts = new CallContexts();
    contexts.close(contexts.open("a", details), true);
    const again = contexts.open("a", details);
    assert.equal(contexts.wasCancelled(undefined, ["a"]), false);
    contexts.close(again, false);
    assert.equal(contexts.wasCancelled(undefined, ["a"]), false);
});

test("call contexts: the call of a running request is found though another one of its chain was cancelled", () => {
    const contexts = new CallContexts();
    contexts.close(contexts.open("a", details), true);
    contexts.open("a.b", details);
    assert.equal(contexts.wasCancelled(undefined, ["a.b", "a"]), false);
});

// Guards against work for clients that have left (GONE): the calls of a cancelled run went on until their upstream ended them.
test("call contexts: the calls of a run are cancelled with it, and not at its regular end", () => {
    const contexts = new CallContexts();
    const served = contexts.open("a", details);
    const cancelled = contexts.open("b", details);
    contexts.close(served, false);
    contexts.close(cancelled, true);
    assert.deepEqual([served.cancel.aborted, cancelled.cancel.aborted], [false, true]);
});
