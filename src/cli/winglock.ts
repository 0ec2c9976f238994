#!/usr/bin/env node
/** Defines `winglock`, the operators' command line. */
import { run, subcommands } from "cmd-ts";
import { applyCommand } from "./applycommand.js";
import { CliError } from "./clierror.js";
import { diffCommand } from "./diffcommand.js";
import { drainCommand } from "./draincommand.js";
import { evacuateCommand } from "./evacuatecommand.js";
import { exitCode } from "./exitcode.js";
import { explainCommand } from "./explaincommand.js";
import { exportCommand } from "./exportcommand.js";
import { resolveCommand } from "./resolvecommand.js";
import { resourceCommands } from "./resourcecommands.js";
import { RuleResource } from "./ruleresource.js";
import { ServiceResource } from "./serviceresource.js";
import { statusCommand } from "./statuscommand.js";
import { teamCommands } from "./teamcommands.js";
import { UpstreamResource } from "./upstreamresource.js";
import { watchCommand } from "./watchcommand.js";
import { whyCommand } from "./whycommand.js";

const app = subcommands({
    name: "winglock",
    description: "Operates winglock's daemons. Exit codes: 0 done, 1 failed or no daemon responds, 2 invalid input,"
        + " 3 conflict, 4 outcome unknown (retry with the change id), 5 not found.",
    cmds: {
        service: resourceCommands(new ServiceResource()),
        upstream: resourceCommands(new UpstreamResource()),
        rule: resourceCommands(new RuleResource()),
        team: teamCommands(),
        apply: applyCommand,
        diff: diffCommand,
        export: exportCommand,
        status: statusCommand,
        drain: drainCommand(true),
        undrain: drainCommand(false),
        evacuate: evacuateCommand(true),
        readmit: evacuateCommand(false),
        watch: watchCommand,
        explain: explainCommand,
        resolve: resolveCommand,
        why: whyCommand,
    },
});

try {
    await run(app, process.argv.slice(2));
}
catch (err) {
    console.error((err as Error).message);
    process.exitCode = err instanceof CliError ? err.code : exitCode.failed;
}
