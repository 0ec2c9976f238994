import assert from "node:assert/strict";
import { spawnSync } from "node:child_process";
import { mkdtempSync, readdirSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { test } from "node:test";

const ROOT = new URL("../../", import.meta.url).pathname;
const PLAY_SCRIPT = join(ROOT, "days/play.js");

type DayEvent = { readonly kind?: unknown; readonly at?: unknown; };
type Day = { readonly plan?: readonly DayEvent[]; readonly faults?: readonly DayEvent[]; };

const { days } = JSON.parse(readFileSync(join(ROOT, "days/days.json"), "utf8")) as { days: Record<string, Day>; };

/**
 * Source of a stub of the bench program. It writes a report with fixed values, in which a rule is broken if the day is
 * named `roll`. For the site `no-site` it exits with status 1 and writes no report.
 */
const BENCH_STUB = `#!/usr/bin/env node
const { readFileSync, writeFileSync } = require("node:fs");
const [, site, day] = process.argv.slice(2);
const report = process.argv[process.argv.indexOf("--report") + 1];
const text = readFileSync(day, "utf8");
if (site === "no-site") process.exit(1);
const breaks = text.includes('name = "roll"') ? { LOST: 5 } : {};
writeFileSync(report, JSON.stringify({ all: { n: 100, in_aim: 90 }, breaks, fault: null, served: 0.95 }));
`;

/** Runs days/play.js with the stub as the bench program. */
const play = (...args: string[]): { readonly status: number | null; readonly stdout: string; } => {
    const folder = mkdtempSync(join(tmpdir(), "winglock-bench-"));
    const bench = join(folder, "bench");
    writeFileSync(bench, BENCH_STUB, { mode: 0o755 });
    const { status, stdout } = spawnSync(process.execPath, [PLAY_SCRIPT, bench, ...args], { encoding: "utf8" });
    rmSync(folder, { recursive: true, force: true });
    return { status, stdout };
};

test("days: each day in days.json has events with a kind and a time", () => {
    assert.ok(Object.keys(days).length > 40);
    for (const [name, { plan = [], faults = [] }] of Object.entries(days)) {
        assert.ok(plan.length + faults.length > 0, name);
        for (const { kind, at } of [...plan, ...faults]) {
            assert.equal(typeof kind, "string", name);
            assert.ok(Number(at) > 0, name);
        }
    }
});

test("days: each file in deploy/days has a comment, its own name, and two or more events with kind and time", () => {
    const folder = join(ROOT, "deploy/days");
    const files = readdirSync(folder);
    assert.ok(files.length >= 6);
    for (const file of files) {
        const text = readFileSync(join(folder, file), "utf8");
        assert.match(text, /^# .+\.$|^# .+\?$/m, file);
        assert.ok(text.includes(`name = "${file.replace(".toml", "")}"`), file);
        const events = text.split("\n").filter(line => line.startsWith("    {"));
        assert.ok(events.length >= 2, `${file}: fewer than two events`);
        events.forEach(line => assert.match(line, /kind = "[a-z_]+", at = [\d.]+/, file));
    }
});

test("days: the player prints the result of each day, and fails if a rule was broken or a day was not played", () => {
    const passed = play("site", "burst");
    assert.equal(passed.status, 0);
    assert.match(passed.stdout, /^burst +credit 0\.950 {2}in time 0\.900 {2}all rules kept$/m);
    const broken = play("site", "roll", "burst");
    assert.equal(broken.status, 1);
    assert.match(broken.stdout, /^roll .* LOST 5$/m);
    const notPlayed = play("no-site", "burst");
    assert.equal(notPlayed.status, 1);
    assert.match(notPlayed.stdout, /not played/);
});

const SITE_FILE = [
    "name = \"small\"",
    "wire = \"wire.json\"",
    "services = [",
    "  { name = \"pages\", slots = 12, queue = 24, load_header = true, on_full = \"shed\", cold_x = 2.0, knee = 0.8, knee_x = 1.7, "
    + "noise = { share = 0.25, x = 4.0, every_ms = 300.0 } },",
    "]",
    "[prices]",
    "probe = 0.01",
    "",
    "[[day]]",
    "name = \"quiet-1\"",
    "",
].join("\n");

test("days: the seed alone determines a varied site, and only its name, upstreams and prices change", () => {
    const folder = mkdtempSync(join(tmpdir(), "winglock-vary-"));
    const vary = (seed: string, out: string): number | null => {
        const args = [join(ROOT, "days/vary.js"), join(folder, "small.toml"), join(folder, out), seed];
        return spawnSync(process.execPath, args, { encoding: "utf8" }).status;
    };
    try {
        writeFileSync(join(folder, "small.toml"), SITE_FILE);
        writeFileSync(join(folder, "wire.json"), "{}");
        assert.deepEqual([vary("7", "one"), vary("7", "two"), vary("8", "three"), vary("x", "four")], [0, 0, 0, 2]);
        const [first, second] = ["one", "two"].map(out => readFileSync(join(folder, out, "small-7.toml"), "utf8"));
        assert.equal(first, second);
        assert.notEqual(first, readFileSync(join(folder, "three", "small-8.toml"), "utf8").replace("-8", "-7"));
        assert.equal(readFileSync(join(folder, "one", "wire.json"), "utf8"), "{}");
        const unvaried = (text: string): string[] => text.split("\n").filter(line => !/slots|probe|^name/.test(line));
        assert.deepEqual(unvaried(first!), unvaried(SITE_FILE));
        assert.notEqual(first!.split("\n")[3], SITE_FILE.split("\n")[3]);
    }
    finally {
        rmSync(folder, { recursive: true, force: true });
    }
});
