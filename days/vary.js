/**
 * `node days/vary.js SITE.toml OUT_FOLDER SEED`.
 *
 * Writes a copy of a site file with other upstreams, so that what was tuned on the known sites is tested on an
 * unknown one. The seed determines the slots, queue, knee, noise, cold start, load reports, behaviour when full, and
 * prices. Days, traffic and rules stay. The wire file that the site file names is copied next to the new site file.
 */
import { copyFileSync, mkdirSync, readFileSync, writeFileSync } from "node:fs";
import { basename, dirname, join } from "node:path";

/** The values to select from; the first two of each list are near those of the known sites. */
const SHARES = { knees: [0.8, 1, 0.6, 0.7], kneeSlowdowns: [1.7, 1.4, 2.2], noiseShares: [0.25, 0.33, 0.1, 0.5] };
const NOISE_SLOWDOWNS = [4, 5, 2, 8];
const NOISE_INTERVALS_MS = [150, 300, 60, 800];
const COLD_SLOWDOWNS = [2, 1, 3];
const ON_FULL = ["shed", "reset", "hang"];
/** Slots and prices are multiplied or divided by up to this factor. */
const MAX_FACTOR = 1.6;
const LOAD_REPORT_PROBABILITY = 0.75;

/** Returns a pseudorandom number generator for the seed (mulberry32). */
const seededRandom = seed => {
    let state = seed >>> 0;
    return () => {
        state = (state + 0x6D2B79F5) >>> 0;
        let mixed = Math.imul(state ^ (state >>> 15), state | 1);
        mixed ^= mixed + Math.imul(mixed ^ (mixed >>> 7), mixed | 61);
        return ((mixed ^ (mixed >>> 14)) >>> 0) / 2 ** 32;
    };
};

/** Returns the text of the varied site file; throws an Error if a service lacks an expected field. */
export const vary = (text, seed) => {
    const random = seededRandom(seed);
    const pick = list => list[Math.floor(random() * list.length)];
    const randomFactor = () => MAX_FACTOR ** (2 * random() - 1);
    const setField = (line, field, value) => {
        const pattern = new RegExp(`\\b${field} = ("[^"]*"|[\\w.]+)`);
        if (!pattern.test(line)) {
            throw new Error(`no ${field} in: ${line.trim().slice(0, 60)}`);
        }
        return line.replace(pattern, `${field} = ${value}`);
    };
    const slotFactor = randomFactor();
    const shape = {
        knee: pick(SHARES.knees),
        knee_x: pick(SHARES.kneeSlowdowns),
        load_header: random() < LOAD_REPORT_PROBABILITY,
        on_full: `"${pick(ON_FULL)}"`,
        cold_x: pick(COLD_SLOWDOWNS).toFixed(1),
    };
    const noise = `noise = { share = ${pick(SHARES.noiseShares)}, x = ${pick(NOISE_SLOWDOWNS)}.0, every_ms = ${
        pick(NOISE_INTERVALS_MS)
    }.0 }`;
    const varyService = line => {
        const slots = Math.max(2, Math.round(Number(/\bslots = (\d+)/.exec(line)[1]) * slotFactor));
        const resizedLine = setField(setField(line, "slots", slots), "queue", 2 * slots);
        const reshapedLine = Object.entries(shape).reduce(
            (changedLine, [field, value]) => setField(changedLine, field, value),
            resizedLine,
        );
        return reshapedLine.replace(/noise = \{[^}]*\}/, noise);
    };
    const lines = text.split("\n").map(line => /^ {2}\{ name = .*\bslots = /.test(line) ? varyService(line) : line);
    const pricesIndex = lines.indexOf("[prices]");
    for (let index = pricesIndex + 1; pricesIndex >= 0 && /^\w+ = [\d.]+$/.test(lines[index] ?? ""); index++) {
        const [name, value] = lines[index].split(" = ");
        lines[index] = `${name} = ${(Number(value) * randomFactor()).toPrecision(4)}`;
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
