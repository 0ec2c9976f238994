/**
 * Runs a soak of callers that leave: `node dist/test/leavesoakmain.js --seed S --seconds N [--stalls] [--log FILE]`. Prints
 * the counts as JSON; if a request began to run too late, writes the daemons' logs to FILE and exits with 1.
 */
import { writeFileSync } from "node:fs";
import { parseArgs } from "node:util";
import { LeaveSoak } from "./leavesoak.js";
import { withPlatform } from "./withplatform.js";

const MAX_SECONDS = 600;

const { values: flags } = parseArgs({
    options: {
        seed: { type: "string", default: "1" },
        seconds: { type: "string", default: "30" },
        stalls: { type: "boolean", default: false },
        log: { type: "string", default: "" },
    },
});
const seed = Number(flags.seed);
const seconds = Math.min(MAX_SECONDS, Number(flags.seconds));

await withPlatform(async mesh => {
    const counts = await new LeaveSoak(mesh, seed, flags.stalls).run(seconds);
    console.log(JSON.stringify({ seed, seconds, ...counts }));
    process.exitCode = counts.late.length === 0 ? 0 : 1;
    if (process.exitCode !== 0 && flags.log !== "") {
        writeFileSync(flags.log, mesh.log.join("\n"));
    }
});
process.exit();
