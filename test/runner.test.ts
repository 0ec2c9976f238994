import assert from "node:assert/strict";
import { spawn } from "node:child_process";
import { test } from "node:test";

const MAIN = new URL("runnerfixtures/main.js", import.meta.url).pathname;

type RunResult = { readonly code: number | null; readonly lines: string[]; };

/** Runs files of runnerfixtures/ in a process of their own. `lines` are those that the runner itself prints. */
const runFixtures = (files: readonly string[], knownRed = ""): Promise<RunResult> =>
    new Promise(resolve => {
        const { NODE_TEST_CONTEXT: _, ...env } = process.env;
        const child = spawn(process.execPath, [MAIN, knownRed, ...files], { env, stdio: ["ignore", "pipe", "ignore"] });
        let text = "";
        child.stdout.setEncoding("utf8").on("data", chunk => text += chunk);
        child.on("close", code => {
            resolve({ code, lines: text.split("\n").filter(line => /^(red|known red|stale)/.test(line)) });
        });
    });

/** Asserts that a run of the file beside a green one is red, with a reason that matches the pattern. */
const assertRed = async (file: string, pattern: RegExp, knownRed = ""): Promise<void> => {
    const { code, lines } = await runFixtures(["green", file], knownRed);
    assert.equal(code, 1, `${file}: ${lines.join()}`);
    assert.match(lines.filter(line => line.startsWith("red: ")).join("\n"), pattern);
};

// Guards against a green run although a test file crashed and some of its tests never ran.
test("runner: a file that throws while it is loaded makes the run red", () =>
    assertRed("throws", /throws\.js.*code 1/));

test("runner: a file whose process ends before its last test makes the run red", () =>
    assertRed("exits", /exits\.js.*code 3/));

test("runner: a file that exceeds its timeout makes the run red", () => assertRed("hangs", /hangs\.js.*timed out/));

test("runner: a file whose process is ended by a signal makes the run red", () =>
    assertRed("killed", /killed\.js.*SIGKILL/));

test("runner: an unhandled rejection makes the run red", () => assertRed("rejects", /after the test ended/));

test("runner: a test that is cancelled makes the run red", () => assertRed("cancelled", /red: one\nred: two/));

test("runner: a file without a test makes the run red", () => assertRed("empty", /empty\.js.*no test/));

test("runner: a listed test hides neither an early end of its file nor an unhandled rejection in it", async () => {
    const knownRed = "two, which fails, its command";
    await assertRed("redthenexits", /redthenexits\.js.*code 3/, knownRed);
    await assertRed("redthenrejects", /after the test ended/, knownRed);
});

test("runner: a run in which only listed tests fail passes, and prints them and the stale entries", async () => {
    const knownRed = "two, which fails, its command\none, its command\ngone, its command";
    const { code, lines } = await runFixtures(["green", "red"], knownRed);
    assert.equal(code, 0);
    assert.deepEqual(lines, [
        "known red, passed over: two, which fails",
        "stale entry of KNOWN-RED.txt, the test passes: one, its command",
        "stale entry of KNOWN-RED.txt, there is no such test: gone, its command",
    ]);
    const unlisted = await runFixtures(["red"]);
    assert.deepEqual([unlisted.code, unlisted.lines], [1, ["red: two, which fails"]]);
});
