/** `npm run faults -- --minutes N --seed S`: a bounded soak with random faults over both meshes. */
import { setTimeout as wait } from "node:timers/promises";
import { parseArgs } from "node:util";
import { seededRandom } from "../standin/seededrandom.js";
import { admissions } from "./admissions.js";
import { audit } from "./audit.js";
import { behoun } from "./behoun.js";
import { faultKinds } from "./faultkinds.js";
import { runLoad } from "./load.js";
import { Mesh } from "./mesh.js";
import type { MeshSpec } from "./meshspec.js";

const RATE = 150;
const MAX_MINUTES = 60;
const REST_MS = 400;

const { values: flags } = parseArgs({
    options: { minutes: { type: "string", default: "1" }, seed: { type: "string", default: "1" } },
});

type Counts = ReturnType<typeof audit> & { readonly diedAlone: number; };

/** Two streams of faults at once, so that they come in pairs and the same twice. */
const disturb = async (mesh: Mesh, random: () => number, endAt: number, faults: Map<string, number>): Promise<void> => {
    while (performance.now() < endAt) {
        const kind = faultKinds[Math.floor(random() * faultKinds.length)]!;
        faults.set(kind.name, (faults.get(kind.name) ?? 0) + 1);
        await kind.happen(mesh, random);
        await wait(REST_MS * random());
    }
};

const soak = async (spec: MeshSpec, seconds: number, seed: number, faults: Map<string, number>): Promise<Counts> => {
    const mesh = await Mesh.start(spec, { seed });
    try {
        const endAt = performance.now() + seconds * 1000;
        const streams = [1, 2].map(stream => disturb(mesh, seededRandom(seed * 10 + stream), endAt, faults));
        const load = runLoad(spec, {
            seed,
            seconds,
            ratePerSecond: RATE,
            ingresses: () => mesh.hosts.map(host => host.ingress),
            onProgress: told => process.stderr.write(`${spec.name}: ${told.length} told\n`),
        });
        const [told] = await Promise.all([load, ...streams]);
        const diedAlone = [...mesh.daemons.values()].filter(child => !child.running);
        diedAlone.forEach(child => process.stderr.write(`${child.errors.join("\n")}\n`));
        return { ...audit(told, mesh.record), diedAlone: diedAlone.length };
    }
    finally {
        await mesh.stop();
    }
};

const minutes = Math.min(MAX_MINUTES, Number(flags.minutes));
const seed = Number(flags.seed);
const faults = new Map<string, number>();
const counts: Counts[] = [];
for (const spec of [behoun, admissions]) {
    counts.push(await soak(spec, minutes * 30, seed, faults));
}
const sum = (name: keyof Counts): number => counts.reduce((total, one) => total + one[name], 0);
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
console.log(JSON.stringify({ requests, faults: Object.fromEntries(faults), violations }));
process.exit(Object.values(violations).every(count => count === 0) ? 0 : 1);
