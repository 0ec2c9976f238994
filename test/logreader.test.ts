import assert from "node:assert/strict";
import { spawn } from "node:child_process";
import { once } from "node:events";
import { test } from "node:test";

const WRITER = new URL("logwriter.js", import.meta.url).pathname;
const KILL_AFTER_MS = 10_000;

test("log: a process goes on and can end although nothing reads its standard output", async () => {
    const child = spawn(process.execPath, [WRITER], { stdio: ["ignore", "pipe", "pipe"] });
    let stderr = "";
    child.stderr.on("data", chunk => stderr += chunk);
    const timer = setTimeout(() => child.kill("SIGKILL"), KILL_AFTER_MS);
    const [code, signal] = await once(child, "exit") as [number | null, string | null];
    clearTimeout(timer);
    assert.match(stderr, /wrote \d{4}/, "the process did not block on its log lines");
    assert.deepEqual([code, signal], [0, null], "the process ended by itself");
});
