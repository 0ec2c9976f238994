import assert from "node:assert/strict";
import { execFileSync } from "node:child_process";
import { cpSync, existsSync, mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { test } from "node:test";
import { Child } from "../demo/child.js";
import { takeRunNumber } from "../demo/takerunnumber.js";

const BINARY_FOLDER = new URL("../bin", import.meta.url).pathname;
const ROOT = new URL("../../", import.meta.url).pathname;

/** Starts a daemon, stops it when it is ready, and returns the field `codeCache` of the log line of its start. */
const startAndStop = async (folder: string, nodeFlags: string[], env: NodeJS.ProcessEnv = {}): Promise<string> => {
    const lines: string[] = [];
    const args = ["--settings", join(folder, "settings.json")];
    const child = new Child(join(folder, "winglockd.cjs"), args, line => lines.push(line), { nodeFlags, env });
    await child.ready();
    assert.equal(await child.end("SIGTERM"), 0);
    const readyLine = lines.find(line => line.includes("The daemon is up."))!;
    return (JSON.parse(readyLine) as { codeCache: string; }).codeCache;
};

/** Loaded before the launcher: sends the signal to the process when the launcher begins to compile the bundle. */
const SIGNAL_WHILE_STARTING = `
    const vm = require("node:vm");
    vm.Script = class extends vm.Script {
        constructor(...args) {
            process.kill(process.pid, "SIGHUP");
            super(...args);
        }
    };
`;

/** Runs the body with a folder that holds the daemon's program and the settings of one host. */
const withStartFolder = async (body: (folder: string) => Promise<void>): Promise<void> => {
    const { run, lock } = await takeRunNumber();
    const folder = mkdtempSync(join(tmpdir(), "winglock-start-"));
    try {
        cpSync(BINARY_FOLDER, folder, { recursive: true });
        const settings = {
            host: "h",
            hall: "a",
            region: "r",
            ingress: `127.${run}.1.1:7104`,
            peer: `127.${run}.1.1:7100`,
            operator: `127.${run}.1.1:7105`,
            store: `127.${run}.1.1:7300`,
            peerKey: "a-key-for-tests-only",
            stop: { lingerMs: 1, limitMs: 100 },
        };
        writeFileSync(join(folder, "settings.json"), JSON.stringify(settings));
        await body(folder);
    }
    finally {
        rmSync(folder, { recursive: true, force: true });
        lock.close();
    }
};

test("start: a code cache is used with the same flags, and rejected with others", async () => {
    await withStartFolder(async folder => {
        const flags = ["--max-semi-space-size=4"];
        assert.equal(await startAndStop(folder, flags, { WINGLOCK_WRITE_CODE_CACHE: "1" }), "none");
        assert.ok(existsSync(join(folder, "winglockd.cache")));
        assert.equal(await startAndStop(folder, flags), "used");
        assert.equal(await startAndStop(folder, ["--max-semi-space-size=8"]), "rejected");
        writeFileSync(join(folder, "winglockd.cache"), "no cache at all");
        assert.equal(await startAndStop(folder, flags), "rejected");
    });
});

// Guards against a daemon that ends because its settings change while it starts.
test("start: a reload signal before the settings are read does not end the process", async () => {
    await withStartFolder(async folder => {
        writeFileSync(join(folder, "signal.cjs"), SIGNAL_WHILE_STARTING);
        assert.equal(await startAndStop(folder, ["--require", join(folder, "signal.cjs")]), "none");
    });
});

test("start: the platform's build creates a code cache with the deployed settings and flags", () => {
    const folder = mkdtempSync(join(tmpdir(), "winglock-warm-"));
    try {
        for (const step of [["build/bundle.js", folder, "platform/main.ts"], ["build/warm.js", folder]]) {
            execFileSync(process.execPath, step, { cwd: ROOT });
        }
        assert.ok(existsSync(join(folder, "winglockd.cache")));
    }
    finally {
        rmSync(folder, { recursive: true, force: true });
    }
});
