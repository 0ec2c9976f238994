/**
 * `npm run model -- [--hosts N] [--load X] [--policy P] [--trouble T] [--seed S] [--seeds N] [--seconds N]
 * [--cold-per-second N] [--plot FILE.svg]`.
 *
 * Runs the simulation in src/policy/model and prints the results of its requests by class. It uses no processes and
 * no network.
 */
import { writeFileSync } from "node:fs";
import { parseArgs } from "node:util";
import { table } from "../src/cli/table.js";
import type { ClassTally } from "../src/policy/model/classtally.js";
import { layered } from "../src/policy/model/layered.js";
import type { ModelTally } from "../src/policy/model/modeltally.js";
import { runModel } from "../src/policy/model/runmodel.js";
import { worthShare } from "../src/policy/model/worthshare.js";
import { seededRandom } from "../standin/seededrandom.js";
import { modelSettings } from "./modelsettings.js";
import { plotSeconds } from "./plotseconds.js";

const MS_PER_SECOND = 1000;
const DIGITS = 3;

const { values: flags } = parseArgs({
    options: {
        hosts: { type: "string", default: "13" },
        load: { type: "string", default: "1" },
        policy: { type: "string", default: "usual" },
        trouble: { type: "string", default: "none" },
        seed: { type: "string", default: "1" },
        seeds: { type: "string", default: "1" },
        "cold-per-second": { type: "string" },
        seconds: { type: "string", default: "30" },
        plot: { type: "string" },
    },
});
const settings = modelSettings(flags);
if (Array.isArray(settings)) {
    settings.forEach(line => console.error(line));
    process.exit(2);
}

const { hosts, load, policy, troubles, seed, seeds, seconds, plot } = settings;
const perSecond = settings["cold-per-second"];
/** The defaults of the daemon's settings. */
const coldLimits = perSecond === undefined ? undefined : { perSecond, overage: 1.5, slack: 2 };
const scenario = layered({ hosts, load, lengthMs: seconds * MS_PER_SECOND, troubles, policy, coldLimits });
const tallies: ModelTally[] = [];
for (let index = 0; index < seeds; index++) {
    tallies.push(runModel(scenario, seededRandom(seed + index)));
}

/** Returns the sum of a count of the class `name` over all seeds. */
const sumOf = (pick: (tally: ClassTally) => number, name: string): number =>
    tallies.flatMap(tally => tally.classes).filter(tally => tally.name === name).reduce(
        (sum, tally) => sum + pick(tally),
        0,
    );
const share = (pick: (tally: ClassTally) => number, name: string): string =>
    (sumOf(pick, name) / sumOf(tally => tally.requests, name)).toFixed(DIGITS);

const rows = scenario.classes.map(({ name, worth }) => [
    name,
    String(worth),
    String(sumOf(tally => tally.requests, name)),
    share(tally => tally.inTime, name),
    share(tally => tally.late, name),
    share(tally => tally.refused, name),
    share(tally => tally.failed, name),
]);
console.log(table(["class", "worth", "asked", "in time", "late", "refused", "failed"], rows));
const worths = tallies.map(({ classes }) => worthShare(classes));
const mean = worths.reduce((sum, worth) => sum + worth, 0) / worths.length;
console.log(`worth ${mean.toFixed(DIGITS)}, by seed ${worths.map(worth => worth.toFixed(DIGITS)).join(" ")}`);
if (plot !== undefined) {
    writeFileSync(plot, plotSeconds(tallies[0]!.seconds));
}
