/**
 * Runs a mesh under load while an upstream is drained and a daemon restarted, and prints the results:
 * `npm run demo -- [--mesh behoun|admissions] [--seconds N] [--rate N] [--json]`. Exits with 1 if a connection broke, a
 * guarantee was broken or a daemon exited with an error.
 */
import { parseArgs } from "node:util";
import { table } from "../src/cli/table.js";
import { admissions } from "./admissions.js";
import { audit } from "./audit.js";
import { behoun } from "./behoun.js";
import { measureAddedLatency } from "./measureaddedlatency.js";
import { Mesh } from "./mesh.js";
import { quantile } from "./quantile.js";
import { readControlBytes } from "./readcontrolbytes.js";
import type { RequestResult } from "./requestresult.js";
import { runLoad } from "./runload.js";

const { values: flags } = parseArgs({
    options: {
        mesh: { type: "string", default: "behoun" },
        seconds: { type: "string", default: "10" },
        rate: { type: "string", default: "400" },
        json: { type: "boolean", default: false },
    },
});

const print = (text: string): void => {
    if (!flags.json) {
        console.log(text);
    }
};

const wait = (ms: number): Promise<void> => new Promise(resolve => setTimeout(resolve, ms));

const sortedLatenciesMs = (results: readonly RequestResult[]): number[] =>
    results.filter(result => result.outcome === "answered").map(result => result.latencyMs).sort((a, b) => a - b);

const roundToHundredths = (value: number): number => Math.round(value * 100) / 100;

const drainAndRestart = async (mesh: Mesh, seconds: number): Promise<void> => {
    await wait(seconds * 300);
    const drained = mesh.hosts[0]!;
    const { stdout } = await mesh.cli("drain", drained.name);
    print(`drain ${drained.name}: ${stdout.split("\n")[0]}`);
    await wait(seconds * 200);
    const restarted = mesh.hosts[5]!;
    const code = await mesh.daemons.get(restarted.name)!.end();
    await mesh.startDaemon(restarted).ready();
    print(`daemon of ${restarted.name} stopped gracefully (exit code ${code}) and restarted`);
};

const summarize = (results: readonly RequestResult[]): string => {
    const kinds = [...new Set(results.map(result => result.kind))].sort();
    const rows = kinds.map(kind => {
        const ofKind = results.filter(result => result.kind === kind);
        const latenciesMs = sortedLatenciesMs(ofKind);
        const count = (outcome: RequestResult["outcome"]): string =>
            String(ofKind.filter(result => result.outcome === outcome).length);
        const quantiles = [0.5, 0.99].map(share => quantile(latenciesMs, share).toFixed(1));
        return [
            kind,
            String(ofKind.length),
            count("answered"),
            count("not-run"),
            count("unknown"),
            count("cut"),
            ...quantiles,
        ];
    });
    return table(["request", "sent", "answered", "not run", "unknown", "cut", "p50 ms", "p99 ms"], rows);
};

const seconds = Number(flags.seconds);
const spec = flags.mesh === "admissions" ? admissions : behoun;
print(`starting the ${spec.name} mesh`);
const mesh = await Mesh.start(spec);
let succeeded = false;
try {
    print((await mesh.cli("status")).stdout);
    const addedLatency = await measureAddedLatency(mesh);
    const bytesBefore = await Promise.all(mesh.operators.map(readControlBytes));
    const startedAt = performance.now();
    const [results] = await Promise.all([
        runLoad(spec, {
            seed: 7,
            seconds,
            ratePerSecond: Number(flags.rate),
            ingresses: () => mesh.hosts.map(host => host.ingress),
            onProgress: finished => print(`${finished.length} requests finished`),
        }),
        drainAndRestart(mesh, seconds),
    ]);
    const elapsedS = (performance.now() - startedAt) / 1000;
    const bytesAfter = await Promise.all(mesh.operators.map(readControlBytes));
    const bytesPerSecond = bytesAfter.map((bytes, index) => Math.max(0, bytes - bytesBefore[index]!) / elapsedS);
    const counts = audit(results, mesh.record);
    const latenciesMs = sortedLatenciesMs(results);
    print(summarize(results));
    const exitCodes = await mesh.stop();
    const report = {
        ...counts,
        p50Ms: roundToHundredths(quantile(latenciesMs, 0.5)),
        p99Ms: roundToHundredths(quantile(latenciesMs, 0.99)),
        addedP99Ms: roundToHundredths(addedLatency.twoHopsP99Ms),
        measureBytesPerSecond: Math.round(Math.max(...bytesPerSecond)),
    };
    console.log(JSON.stringify(report));
    const violations = counts.cut + counts.onceRunTwice + counts.falseNotRun + counts.wrongAnswer + counts.overLimit;
    succeeded = violations === 0 && exitCodes.every(code => code === 0);
}
finally {
    await mesh.stop();
}
process.exit(succeeded ? 0 : 1);
