import assert from "node:assert/strict";
import { spawn } from "node:child_process";
import { test } from "node:test";

const MAIN = new URL("runnerfixtures/main.js", import.meta.url).pathname;

type Ran = { readonly code: number | null; readonly lines: string[]; };

/** Runs files of the fixtures' folder as the runner does; the lines are the runner's own. */
const runFixtures = (files: readonly string[], knownRed = ""): Promise<Ran> =>
    new Promise(resolve => {
        const { NODE_TEST_CONTEXT: _, ...env } = process.env;
        const child = spawn(process.execPath, [MAIN, knownRed, ...files], { env, stdio: ["ignore", "pipe", "ignore"] });
        let text = "";
        child.stdout.setEncoding("utf8").on("data", chunk => text += chunk);
        child.on("close", code => {
            resolve({ code, lines: text.split("\n").filter(line => /^(red|known red|stale)/.test(line)) });
        });
    });

const checkRed = async (file: string, word: RegExp, knownRed = ""): Promise<void> => {
    const { code, lines } = await runFixtures(["green", file], knownRed);
    assert.equal(code, 1, `${file}: ${lines.join()}`);
    assert.match(lines.filter(line => line.startsWith("red: ")).join("\n"), word);
};

// Guards against a run that is green though a test file crashed, and tests of it never ran.
test("runner: a file that throws while it is loaded makes the run red", () => checkRed("throws", /throws\.js.*code 1/));

test("runner: a file whose process ends before its last test makes the run red", () =>
    checkRed("exits", /exits\.js.*code 3/));

test("runner: a file that does not end in time makes the run red", () => checkRed("hangs", /hangs\.js.*timed out/));

test("runner: a file that is ended by a signal makes the run red", () => checkRed("killed", /killed\.js.*SIGKILL/));

test("runner: a rejection that nobody handles makes the run red", () => checkRed("rejects", /after the test ended/));

test("runner: a test that is cancelled makes the run red", () => checkRed("cancelled", /red: one\nred: two/));

test("runner: a file without a test makes the run red", () => checkRed("empty", /empty\.js.*no test/));

test("runner: a listed test passes over neither an early end nor a rejection in its file", async () => {
    const knownRed = "two, which fails, its command";
    await checkRed("redthenexits", /redthenexits\.js.*code 3/, knownRed);
    await checkRed("redthenrejects", /after the test ended/, knownRed);
});

test("runner: a file that fails only by listed tests passes and prints them, and a stale entry is told", async () => {
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
