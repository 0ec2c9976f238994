import assert from "node:assert/strict";
import { spawn } from "node:child_process";
import { once } from "node:events";
import { test } from "node:test";

const WRITER = new URL("logwriter.js", import.meta.url).pathname;
const LIMIT_MS = 10_000;

test("log: a reader of standard output that stands still neither stops the process nor keeps it from ending", async () => {
    const child = spawn(process.execPath, [WRITER], { stdio: ["ignore", "pipe", "pipe"] });
    let told = "";
    child.stderr.on("data", chunk => told += chunk);
    const timer = setTimeout(() => child.kill("SIGKILL"), LIMIT_MS);
    const [code, signal] = await once(child, "exit") as [number | null, string | null];
    clearTimeout(timer);
    assert.match(told, /wrote \d{4}/, "it went on");
    assert.deepEqual([code, signal], [0, null], "it ended by itself");
});
