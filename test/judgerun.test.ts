import assert from "node:assert/strict";
import { test } from "node:test";
import { judgeRun } from "./judgerun.js";
import type { TestEvent } from "./testevent.js";

const FILE = "/a.test.js";
const passes = (name: string, file = FILE): TestEvent => ({ type: "pass", name, file });
const fails = (name: string, file = FILE): TestEvent => ({ type: "fail", name, file, why: "it ended" });
const judge = (
    events: readonly TestEvent[],
    knownRed = "",
    { files = [FILE], isWhole = true } = {},
): ReturnType<typeof judgeRun> => judgeRun({ events, files, knownRed, isWhole });

test("run: green when all tests pass", () => {
    assert.deepEqual(judge([passes("one")]), { red: [], passedOver: [], stale: [] });
});

test("run: red by a test that fails, unless it is listed", () => {
    assert.deepEqual(judge([passes("one"), fails("two, three")]).red, ["two, three"]);
    const { red, passedOver } = judge([passes("one"), fails("two, three")], "two, three, its command, what was seen\n");
    assert.deepEqual([red, passedOver], [[], ["two, three"]]);
    assert.deepEqual(judge([fails("two")], "two more, its command").red, ["two"]);
});

// Guards against a file that crashes, times out or ends early beside tests that pass, or fail as listed.
test("run: red by a file that fails by itself, which can't be listed", () => {
    assert.equal(judge([passes("one"), fails(FILE)]).red.length, 1);
    assert.equal(judge([fails("two"), fails(FILE)], `two, its command\n${FILE}, its command`).red.length, 1);
});

test("run: red by a file of which nothing is told, that has no test, and without any file", () => {
    assert.deepEqual(judge([], ""), { red: [`${FILE}: nothing was told of the file`], passedOver: [], stale: [] });
    assert.deepEqual(judge([passes(FILE)]).red, [`${FILE}: the file has no test`]);
    assert.equal(judge([], "", { files: [] }).red.length, 1);
});

test("run: red by what fails after the end of a test, beside a listed test too", () => {
    const notice: TestEvent = {
        type: "notice",
        text: "Error: Test \"x\" generated asynchronous activity after the test ended.",
    };
    assert.equal(judge([fails("two"), notice], "two, its command").red.length, 1);
    assert.deepEqual(judge([passes("one"), { type: "notice", text: "tests 1" }]).red, []);
});

test("run: an entry is stale when its test passes, and when a whole run has no such test", () => {
    assert.deepEqual(judge([passes("one")], "one, its command").stale, ["the test passes: one, its command"]);
    assert.deepEqual(judge([passes("one")], "gone, its command").stale, ["there is no such test: gone, its command"]);
    assert.deepEqual(judge([passes("one")], "gone, its command", { isWhole: false }).stale, []);
    assert.deepEqual(judge([passes("one")], "one, its command").red, [], "it is told, and does not make the run red");
});
