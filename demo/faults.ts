/**
 * Runs a bounded soak with random faults on both meshes: `npm run faults -- --minutes N --seed S`. Prints the counts as
 * JSON, and exits with 1 if a guarantee was broken or a daemon exited by itself.
 */
import { setTimeout as wait } from "node:timers/promises";
import { parseArgs } from "node:util";
import { seededRandom } from "../standin/seededrandom.js";
import { admissions } from "./admissions.js";
import { audit } from "./audit.js";
import { behoun } from "./behoun.js";
import { faultKinds } from "./faultkinds.js";
import { Mesh } from "./mesh.js";
import type { MeshSpec } from "./meshspec.js";
import { runLoad } from "./runload.js";

const REQUESTS_PER_SECOND = 150;
const MAX_MINUTES = 60;
const MAX_PAUSE_MS = 400;

const { values: flags } = parseArgs({
    options: { minutes: { type: "string", default: "1" }, seed: { type: "string", default: "1" } },
});

type SoakCounts = ReturnType<typeof audit> & { readonly diedAlone: number; };

/**
 * Injects random faults one after the other until `endAt`. Each soak runs two of these streams at once, so that faults
 * overlap, also two of the same kind.
 */
const injectFaults = async (
    mesh: Mesh,
    random: () => number,
    endAt: number,
    faultCounts: Map<string, number>,
): Promise<void> => {
    while (performance.now() < endAt) {
        const kind = faultKinds[Math.floor(random() * faultKinds.length)]!;
        faultCounts.set(kind.name, (faultCounts.get(kind.name) ?? 0) + 1);
        await kind.inject(mesh, random);
        await wait(MAX_PAUSE_MS * random());
    }
};

const soak = async (
    spec: MeshSpec,
    seconds: number,
    seed: number,
    faultCounts: Map<string, number>,
): Promise<SoakCounts> => {
    const mesh = await Mesh.start(spec, { seed });
    try {
        const endAt = performance.now() + seconds * 1000;
        const streams = [1, 2].map(stream => injectFaults(mesh, seededRandom(seed * 10 + stream), endAt, faultCounts));
        const load = runLoad(spec, {
            seed,
            seconds,
            ratePerSecond: REQUESTS_PER_SECOND,
            ingresses: () => mesh.hosts.map(host => host.ingress),
            onProgress: results => process.stderr.write(`${spec.name}: ${results.length} requests finished\n`),
        });
        const [results] = await Promise.all([load, ...streams]);
        const exitedDaemons = [...mesh.daemons.values()].filter(child => !child.running);
        exitedDaemons.forEach(child => process.stderr.write(`${child.errors.join("\n")}\n`));
        return { ...audit(results, mesh.record), diedAlone: exitedDaemons.length };
    }
    finally {
        await mesh.stop();
    }
};

const minutes = Math.min(MAX_MINUTES, Number(flags.minutes));
const seed = Number(flags.seed);
const faultCounts = new Map<string, number>();
const counts: SoakCounts[] = [];
for (const spec of [behoun, admissions]) {
    counts.push(await soak(spec, minutes * 30, seed, faultCounts));
}
const sum = (name: keyof SoakCounts): number => counts.reduce((total, item) => total + item[name], 0);
const violations = {
    onceRunTwice: sum("onceRunTwice"),
    falseNotRun: sum("falseNotRun"),
    wrongAnswer: sum("wrongAnswer"),
    overLimit: sum("overLimit"),
    diedAlone: sum("diedAlone"),
};
const requests = {
    sent: sum("sent"),
    answered: sum("answered"),
    notRun: sum("notRun"),
    unknown: sum("unknown"),
    cut: sum("cut"),
};
console.log(JSON.stringify({ requests, faults: Object.fromEntries(faultCounts), violations }));
process.exit(Object.values(violations).every(count => count === 0) ? 0 : 1);
