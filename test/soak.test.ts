import assert from "node:assert/strict";
import { spawn } from "node:child_process";
import { test } from "node:test";

const FAULTS_SCRIPT = new URL("../demo/faults.js", import.meta.url).pathname;
const SEED = "43";

test("soak: a minute of faults in pairs, on both meshes, breaks no guarantee", async () => {
    const child = spawn(process.execPath, [FAULTS_SCRIPT, "--minutes", "1", "--seed", SEED], {
        stdio: ["ignore", "pipe", "pipe"],
    });
    let output = "";
    child.stdout.setEncoding("utf8").on("data", chunk => output += chunk);
    let errors = "";
    child.stderr.setEncoding("utf8").on("data", chunk => errors += chunk);
    const code = await new Promise(resolve => child.on("close", resolve));
    assert.equal(code, 0, `seed ${SEED}: ${output}\n${errors.slice(-2000)}`);
});
