import assert from "node:assert/strict";
import { test } from "node:test";
import { judgeRun } from "./judgerun.js";
import type { TestEvent } from "./testevent.js";

const FILE = "/a.test.js";
const passEvent = (name: string, file = FILE): TestEvent => ({ type: "pass", name, file });
const failEvent = (name: string, file = FILE): TestEvent => ({ type: "fail", name, file, why: "it ended" });
const judge = (
    events: readonly TestEvent[],
    knownRed = "",
    { files = [FILE], isFullRun = true } = {},
): ReturnType<typeof judgeRun> => judgeRun({ events, files, knownRed, isFullRun });

test("run: green when all tests pass", () => {
    assert.deepEqual(judge([passEvent("one")]), { red: [], passedOver: [], stale: [] });
});

test("run: red if a test fails, unless it is listed", () => {
    assert.deepEqual(judge([passEvent("one"), failEvent("two, three")]).red, ["two, three"]);
    const { red, passedOver } = judge(
        [passEvent("one"), failEvent("two, three")],
        "two, three, its command, what was seen\n",
    );
    assert.deepEqual([red, passedOver], [[], ["two, three"]]);
    assert.deepEqual(judge([failEvent("two")], "two more, its command").red, ["two"]);
});

// Guards against a green run although a file crashed, timed out or ended early, when all tests of the file that ran
// passed or are listed.
test("run: red if a file itself fails, which can't be listed", () => {
    assert.equal(judge([passEvent("one"), failEvent(FILE)]).red.length, 1);
    assert.equal(judge([failEvent("two"), failEvent(FILE)], `two, its command\n${FILE}, its command`).red.length, 1);
});

test("run: red if a file has no result, if a file has no test, and if there is no file", () => {
    assert.deepEqual(judge([], ""), { red: [`${FILE}: nothing was told of the file`], passedOver: [], stale: [] });
    assert.deepEqual(judge([passEvent(FILE)]).red, [`${FILE}: the file has no test`]);
    assert.equal(judge([], "", { files: [] }).red.length, 1);
});

test("run: red if something fails after the end of a test, also beside a listed test", () => {
    const notice: TestEvent = {
        type: "notice",
        text: "Error: Test \"x\" generated asynchronous activity after the test ended.",
    };
    assert.equal(judge([failEvent("two"), notice], "two, its command").red.length, 1);
    assert.deepEqual(judge([passEvent("one"), { type: "notice", text: "tests 1" }]).red, []);
});

test("run: an entry is stale if its test passes, or if a full run has no such test", () => {
    assert.deepEqual(judge([passEvent("one")], "one, its command").stale, ["the test passes: one, its command"]);
    assert.deepEqual(judge([passEvent("one")], "gone, its command").stale, [
        "there is no such test: gone, its command",
    ]);
    assert.deepEqual(judge([passEvent("one")], "gone, its command", { isFullRun: false }).stale, []);
    assert.deepEqual(
        judge([passEvent("one")], "one, its command").red,
        [],
        "a stale entry does not make the run red",
    );
});
