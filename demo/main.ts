/** `npm run demo -- [--mesh behoun|admissions] [--seconds N] [--rate N] [--json]`. */
import { parseArgs } from "node:util";
import { table } from "../src/cli/table.js";
import { admissions } from "./admissions.js";
import { audit } from "./audit.js";
import { behoun } from "./behoun.js";
import { controlBytes } from "./readcontrolbytes.js";
import { runLoad } from "./load.js";
import { measureAdded } from "./measureaddedlatency.js";
import { Mesh } from "./mesh.js";
import { quantile } from "./quantile.js";
import type { Told } from "./told.js";

const { values: flags } = parseArgs({
    options: {
        mesh: { type: "string", default: "behoun" },
        seconds: { type: "string", default: "10" },
        rate: { type: "string", default: "400" },
        json: { type: "boolean", default: false },
    },
});

const say = (text: string): void => {
    if (!flags.json) {
        console.log(text);
    }
};

const wait = (ms: number): Promise<void> => new Promise(resolve => setTimeout(resolve, ms));

const sortedMs = (told: readonly Told[]): number[] =>
    told.filter(item => item.word === "answered").map(item => item.ms).sort((a, b) => a - b);

const round = (value: number): number => Math.round(value * 100) / 100;

const disturb = async (mesh: Mesh, seconds: number): Promise<void> => {
    await wait(seconds * 300);
    const drained = mesh.hosts[0]!;
    const { stdout } = await mesh.cli("drain", drained.name);
    say(`drain ${drained.name}: ${stdout.split("\n")[0]}`);
    await wait(seconds * 200);
    const restarted = mesh.hosts[5]!;
    const code = await mesh.daemons.get(restarted.name)!.end();
    await mesh.startDaemon(restarted).ready();
    say(`daemon beside ${restarted.name} stopped by plan (exit ${code}) and started again`);
};

const summary = (told: readonly Told[]): string => {
    const kinds = [...new Set(told.map(item => item.kind))].sort();
    const rows = kinds.map(kind => {
        const its = told.filter(item => item.kind === kind);
        const ms = sortedMs(its);
        const count = (word: Told["word"]): string => String(its.filter(item => item.word === word).length);
        const times = [0.5, 0.99].map(share => quantile(ms, share).toFixed(1));
        return [
            kind,
            String(its.length),
            count("answered"),
            count("not-run"),
            count("unknown"),
            count("cut"),
            ...times,
        ];
    });
    return table(["request", "sent", "answered", "not run", "unknown", "cut", "p50 ms", "p99 ms"], rows);
};

const seconds = Number(flags.seconds);
const spec = flags.mesh === "admissions" ? admissions : behoun;
say(`starting the ${spec.name} mesh`);
const mesh = await Mesh.start(spec);
let ok = false;
try {
    say((await mesh.cli("status")).stdout);
    const added = await measureAdded(mesh);
    const before = await Promise.all(mesh.operators.map(controlBytes));
    const beganAt = performance.now();
    const [told] = await Promise.all([
        runLoad(spec, {
            seed: 7,
            seconds,
            ratePerSecond: Number(flags.rate),
            ingresses: () => mesh.hosts.map(host => host.ingress),
            onProgress: sofar => say(`${sofar.length} requests answered or refused`),
        }),
        disturb(mesh, seconds),
    ]);
    const elapsedS = (performance.now() - beganAt) / 1000;
    const after = await Promise.all(mesh.operators.map(controlBytes));
    const rates = after.map((bytes, at) => Math.max(0, bytes - before[at]!) / elapsedS);
    const counts = audit(told, mesh.record);
    const ms = sortedMs(told);
    say(summary(told));
    const codes = await mesh.stop();
    const line = {
        ...counts,
        p50Ms: round(quantile(ms, 0.5)),
        p99Ms: round(quantile(ms, 0.99)),
        addedP99Ms: round(added.twoHopsP99Ms),
        measureBytesPerSecond: Math.round(Math.max(...rates)),
    };
    console.log(JSON.stringify(line));
    const faults = counts.cut + counts.onceRunTwice + counts.falseNotRun + counts.wrongAnswer + counts.overLimit;
    ok = faults === 0 && codes.every(code => code === 0);
}
finally {
    await mesh.stop();
}
process.exit(ok ? 0 : 1);
