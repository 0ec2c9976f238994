/**
 * Writes a copy of a site file with other upstreams: `node days/vary.js SITE.toml OUT_FOLDER SEED`.
 *
 * Slots, queue, knee, noise, cold start, whether load is told, what a full upstream does, and prices are drawn anew from the seed, so that
 * what was tuned on the sites at hand is tried on one that nobody has seen. Days, traffic and rules stay. Beside the copy goes the wire file
 * that the site file names.
 */
import { copyFileSync, mkdirSync, readFileSync, writeFileSync } from "node:fs";
import { basename, dirname, join } from "node:path";

/** Drawn from; the first two of each are about what the sites at hand have. */
const SHARES = { knee: [0.8, 1, 0.6, 0.7], kneeTimes: [1.7, 1.4, 2.2], noiseShare: [0.25, 0.33, 0.1, 0.5] };
const NOISE_TIMES = [4, 5, 2, 8];
const NOISE_EVERY_MS = [150, 300, 60, 800];
const COLD_TIMES = [2, 1, 3];
const ON_FULL = ["shed", "reset", "hang"];
/** Slots and prices change by up to this factor either way. */
const MOST = 1.6;
const TELLS_LOAD = 0.75;

/** Repeatable randomness (mulberry32). */
const seeded = seed => {
    let state = seed >>> 0;
    return () => {
        state = (state + 0x6D2B79F5) >>> 0;
        let mixed = Math.imul(state ^ (state >>> 15), state | 1);
        mixed ^= mixed + Math.imul(mixed ^ (mixed >>> 7), mixed | 61);
        return ((mixed ^ (mixed >>> 14)) >>> 0) / 2 ** 32;
    };
};

/** Returns the copy's text; throws an Error that names what is missing where a line is not as expected. */
export const vary = (text, seed) => {
    const random = seeded(seed);
    const pick = list => list[Math.floor(random() * list.length)];
    const times = () => MOST ** (2 * random() - 1);
    const set = (line, field, value) => {
        const pattern = new RegExp(`\\b${field} = ("[^"]*"|[\\w.]+)`);
        if (!pattern.test(line)) {
            throw new Error(`no ${field} in: ${line.trim().slice(0, 60)}`);
        }
        return line.replace(pattern, `${field} = ${value}`);
    };
    const slotTimes = times();
    const shape = {
        knee: pick(SHARES.knee),
        knee_x: pick(SHARES.kneeTimes),
        load_header: random() < TELLS_LOAD,
        on_full: `"${pick(ON_FULL)}"`,
        cold_x: pick(COLD_TIMES).toFixed(1),
    };
    const noise = `noise = { share = ${pick(SHARES.noiseShare)}, x = ${pick(NOISE_TIMES)}.0, every_ms = ${
        pick(NOISE_EVERY_MS)
    }.0 }`;
    const service = line => {
        const slots = Math.max(2, Math.round(Number(/\bslots = (\d+)/.exec(line)[1]) * slotTimes));
        const sized = set(set(line, "slots", slots), "queue", 2 * slots);
        const shaped = Object.entries(shape).reduce((so, [field, value]) => set(so, field, value), sized);
        return shaped.replace(/noise = \{[^}]*\}/, noise);
    };
    const lines = text.split("\n").map(line => /^ {2}\{ name = .*\bslots = /.test(line) ? service(line) : line);
    const prices = lines.indexOf("[prices]");
    for (let at = prices + 1; prices >= 0 && /^\w+ = [\d.]+$/.test(lines[at] ?? ""); at++) {
        const [name, value] = lines[at].split(" = ");
        lines[at] = `${name} = ${(Number(value) * times()).toPrecision(4)}`;
    }
    return lines.join("\n").replace(/^name = "([^"]+)"$/m, `name = "$1-${seed}"`);
};

const [site, folder, seed] = process.argv.slice(2);
if (process.argv[1]?.endsWith("vary.js")) {
    if (seed === undefined || !/^\d+$/.test(seed)) {
        console.error("usage: node days/vary.js SITE.toml OUT_FOLDER SEED (a whole number)");
        process.exit(2);
    }
    const text = readFileSync(site, "utf8");
    const wire = /^wire = "([^"]+)"$/m.exec(text)?.[1];
    mkdirSync(folder, { recursive: true });
    writeFileSync(join(folder, basename(site).replace(/\.toml$/, `-${seed}.toml`)), vary(text, Number(seed)));
    if (wire !== undefined) {
        copyFileSync(join(dirname(site), wire), join(folder, wire));
    }
}
