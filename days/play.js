/**
 * `node days/play.js BENCH SITE [--jobs N] [NAME...]`.
 *
 * Runs the named days of days.json, or all of them, with the users' bench program and prints the result of each.
 * Exits with status 1 if a day broke a rule or could not be run.
 *
 * BENCH and SITE are paths to the users' program and to a site file, which are not part of this project. A day has
 * the traffic of the site for 22 s, followed by the end that the bench adds to each run.
 */
import { spawn } from "node:child_process";
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";

const SEED = 20261202;
const DAY_LENGTH_S = 22;

const readArguments = () => {
    const args = process.argv.slice(2);
    const index = args.indexOf("--jobs");
    const jobs = index < 0 ? 2 : Number(args.splice(index, 2)[1]);
    const [bench, site, ...names] = args;
    if (bench === undefined || site === undefined || !(jobs >= 1)) {
        console.error("usage: node days/play.js BENCH SITE [--jobs N] [NAME...]");
        process.exit(2);
    }
    return { bench, site, jobs, names };
};

const toToml = value => {
    if (Array.isArray(value)) {
        return `[${value.map(toToml).join(", ")}]`;
    }
    if (typeof value === "object") {
        return `{ ${Object.entries(value).map(([key, item]) => `${key} = ${toToml(item)}`).join(", ")} }`;
    }
    return JSON.stringify(value);
};

const dayToToml = (name, { plan = [], faults = [] }) =>
    Object.entries({ name, slot: "trouble", seed: SEED, one: 1, zero: 0, goal: { floor: 0 }, plan, faults })
        .map(([key, value]) => `${key} = ${toToml(value)}`)
        .join("\n");

const play = ({ bench, site }, folder, name, day) =>
    new Promise(resolve => {
        const file = join(folder, `${name}.toml`);
        const report = join(folder, `${name}.json`);
        writeFileSync(file, dayToToml(name, day));
        const reason = `A day of our own: ${name}`;
        const benchArgs = ["run", site, file, "--until", String(DAY_LENGTH_S), "--report", report, "--why", reason];
        const child = spawn(bench, benchArgs, { stdio: ["ignore", "pipe", "pipe"] });
        let output = "";
        child.stdout.on("data", chunk => output += chunk);
        child.stderr.on("data", chunk => output += chunk);
        child.on("close", () => resolve(readResult(name, report, output)));
    });

const readResult = (name, report, output) => {
    try {
        const { all, breaks, fault, served } = JSON.parse(readFileSync(report, "utf8"));
        const violations = [
            ...Object.entries(breaks).map(([rule, count]) => `${rule} ${JSON.stringify(count)}`),
            fault ?? [],
        ]
            .flat();
        return { name, served, inTimeShare: all.in_aim / all.n, violations };
    }
    catch {
        return { name, served: 0, inTimeShare: 0, violations: [`not played: ${output.trim().split("\n").at(-1)}`] };
    }
};

const main = async () => {
    const options = readArguments();
    const { days } = JSON.parse(readFileSync(new URL("days.json", import.meta.url), "utf8"));
    const remainingDays = Object.entries(days).filter(([name]) =>
        options.names.length === 0 || options.names.includes(name)
    );
    const folder = mkdtempSync(join(tmpdir(), "winglock-days-"));
    let failedDays = 0;
    const runRemainingDays = async () => {
        for (let next = remainingDays.shift(); next !== undefined; next = remainingDays.shift()) {
            const { name, served, inTimeShare, violations } = await play(options, folder, ...next);
            failedDays += violations.length === 0 ? 0 : 1;
            const credit = `credit ${served.toFixed(3)}  in time ${inTimeShare.toFixed(3)}`;
            console.log(
                `${name.padEnd(24)} ${credit}  ${violations.length === 0 ? "all rules kept" : violations.join("; ")}`,
            );
        }
    };
    await Promise.all(Array.from({ length: options.jobs }, runRemainingDays));
    rmSync(folder, { recursive: true, force: true });
    process.exitCode = failedDays === 0 ? 0 : 1;
};

await main();
