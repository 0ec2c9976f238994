/**
 * Runs a soak of planned work: `node dist/test/stopsoakmain.js --seed S --seconds N --hosts H [--log FILE]`, with H hosts for
 * each of two services. Prints the counts as JSON; if a guarantee was broken, writes the daemons' logs to FILE and exits
 * with 1.
 */
import { writeFileSync } from "node:fs";
import { parseArgs } from "node:util";
import { PlatformMesh } from "./platformmesh.js";
import { StopSoak } from "./stopsoak.js";

const MAX_SECONDS = 600;
const MAX_HOSTS = 50;

const { values: flags } = parseArgs({
    options: {
        seed: { type: "string", default: "1" },
        seconds: { type: "string", default: "30" },
        hosts: { type: "string", default: "3" },
        log: { type: "string", default: "" },
    },
});
const seed = Number(flags.seed);
const seconds = Math.min(MAX_SECONDS, Number(flags.seconds));
const hosts = Math.min(MAX_HOSTS, Number(flags.hosts));

const mesh = await PlatformMesh.start(undefined, hosts, undefined, { settings: StopSoak.settings });
try {
    const counts = await new StopSoak(mesh, seed).run(seconds);
    console.log(JSON.stringify({ seed, seconds, hosts, ...counts }));
    const broken = [counts.lost, counts.ranTwice, counts.refusedThoughRun, counts.badExits, counts.badStops];
    process.exitCode = broken.every(({ length }) => length === 0) ? 0 : 1;
    if (process.exitCode !== 0) {
        const ids = broken.flat();
        const isNamed = (line: string): boolean =>
            /The daemon (has stopped|is stopping)/.test(line) || ids.some(id => line.includes(`"${id}"`));
        mesh.log.filter(isNamed).forEach(line => console.error(line));
        if (flags.log !== "") {
            writeFileSync(flags.log, mesh.log.join("\n"));
        }
    }
}
finally {
    await mesh.stop();
}
process.exit();
