import assert from "node:assert/strict";
import { spawnSync } from "node:child_process";
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { test } from "node:test";

const ROOT = new URL("../../", import.meta.url).pathname;
const PLAYER = join(ROOT, "days/play.js");

type Trouble = { readonly kind?: unknown; readonly at?: unknown; };
type Day = { readonly plan?: readonly Trouble[]; readonly faults?: readonly Trouble[]; };

const { days } = JSON.parse(readFileSync(join(ROOT, "days/days.json"), "utf8")) as { days: Record<string, Day>; };

/** A bench that writes a report of the day's name and says that a rule was broken on the days named `roll`. */
const BENCH = `#!/usr/bin/env node
const { readFileSync, writeFileSync } = require("node:fs");
const [, site, day] = process.argv.slice(2);
const report = process.argv[process.argv.indexOf("--report") + 1];
const text = readFileSync(day, "utf8");
if (site === "no-site") process.exit(1);
const breaks = text.includes('name = "roll"') ? { LOST: 5 } : {};
writeFileSync(report, JSON.stringify({ all: { n: 100, in_aim: 90 }, breaks, fault: null, served: 0.95 }));
`;

const play = (...args: string[]): { readonly status: number | null; readonly stdout: string; } => {
    const folder = mkdtempSync(join(tmpdir(), "winglock-bench-"));
    const bench = join(folder, "bench");
    writeFileSync(bench, BENCH, { mode: 0o755 });
    const { status, stdout } = spawnSync(process.execPath, [PLAYER, bench, ...args], { encoding: "utf8" });
    rmSync(folder, { recursive: true, force: true });
    return { status, stdout };
};

test("days: each has troubles, with a kind and a time", () => {
    assert.ok(Object.keys(days).length > 40);
    for (const [name, { plan = [], faults = [] }] of Object.entries(days)) {
        assert.ok(plan.length + faults.length > 0, name);
        for (const { kind, at } of [...plan, ...faults]) {
            assert.equal(typeof kind, "string", name);
            assert.ok(Number(at) > 0, name);
        }
    }
});

test("days: the player tells what came of each, and fails when a rule was broken or a day was not played", () => {
    const kept = play("site", "burst");
    assert.equal(kept.status, 0);
    assert.match(kept.stdout, /^burst +credit 0\.950 {2}in time 0\.900 {2}all rules kept$/m);
    const broken = play("site", "roll", "burst");
    assert.equal(broken.status, 1);
    assert.match(broken.stdout, /^roll .* LOST 5$/m);
    const unplayed = play("no-site", "burst");
    assert.equal(unplayed.status, 1);
    assert.match(unplayed.stdout, /not played/);
});
