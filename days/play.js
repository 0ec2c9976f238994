/**
 * Plays the days of days.json on the users' bench and prints what came of each:
 * `node days/play.js BENCH SITE [--jobs N] [NAME...]`. All of them without a name. Exit code 1 when a rule was broken.
 *
 * BENCH and SITE are paths; nothing of either is kept here. A day has the traffic of the site and 22 s, plus a bench run's
 * own end.
 */
import { spawn } from "node:child_process";
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";

const SEED = 20261202;
const UNTIL_S = 22;

const readArguments = () => {
    const words = process.argv.slice(2);
    const at = words.indexOf("--jobs");
    const jobs = at < 0 ? 2 : Number(words.splice(at, 2)[1]);
    const [bench, site, ...names] = words;
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

const dayFile = (name, { plan = [], faults = [] }) =>
    Object.entries({ name, slot: "trouble", seed: SEED, one: 1, zero: 0, goal: { floor: 0 }, plan, faults })
        .map(([key, value]) => `${key} = ${toToml(value)}`)
        .join("\n");

const play = ({ bench, site }, folder, name, day) =>
    new Promise(resolve => {
        const file = join(folder, `${name}.toml`);
        const report = join(folder, `${name}.json`);
        writeFileSync(file, dayFile(name, day));
        const why = `A day of our own: ${name}`;
        const args = ["run", site, file, "--until", String(UNTIL_S), "--report", report, "--why", why];
        const child = spawn(bench, args, { stdio: ["ignore", "pipe", "pipe"] });
        let text = "";
        child.stdout.on("data", chunk => text += chunk);
        child.stderr.on("data", chunk => text += chunk);
        child.on("close", () => resolve(readResult(name, report, text)));
    });

const readResult = (name, report, text) => {
    try {
        const { all, breaks, fault, served } = JSON.parse(readFileSync(report, "utf8"));
        const broken = [
            ...Object.entries(breaks).map(([rule, count]) => `${rule} ${JSON.stringify(count)}`),
            fault ?? [],
        ]
            .flat();
        return { name, served, inAim: all.in_aim / all.n, broken };
    }
    catch {
        return { name, served: 0, inAim: 0, broken: [`not played: ${text.trim().split("\n").at(-1)}`] };
    }
};

const main = async () => {
    const options = readArguments();
    const { days } = JSON.parse(readFileSync(new URL("days.json", import.meta.url), "utf8"));
    const wanted = Object.entries(days).filter(([name]) => options.names.length === 0 || options.names.includes(name));
    const folder = mkdtempSync(join(tmpdir(), "winglock-days-"));
    let red = 0;
    const work = async () => {
        for (let next = wanted.shift(); next !== undefined; next = wanted.shift()) {
            const { name, served, inAim, broken } = await play(options, folder, ...next);
            red += broken.length === 0 ? 0 : 1;
            const credit = `credit ${served.toFixed(3)}  in time ${inAim.toFixed(3)}`;
            console.log(`${name.padEnd(24)} ${credit}  ${broken.length === 0 ? "all rules kept" : broken.join("; ")}`);
        }
    };
    await Promise.all(Array.from({ length: options.jobs }, work));
    rmSync(folder, { recursive: true, force: true });
    process.exitCode = red === 0 ? 0 : 1;
};

await main();
