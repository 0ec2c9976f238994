/** Implements `winglock diff`. */
import { command, positional, string } from "cmd-ts";
import { commonArgs } from "./commonargs.js";
import { makeChange } from "./makechange.js";
import { OperatorClient } from "./operatorclient.js";
import { readFileChange } from "./readfilechange.js";

/** Prints what `winglock apply` would change. */
export const diffCommand = command({
    name: "diff",
    description: "Prints what applying a JSON file would change. Example: winglock diff mesh.json",
    args: { file: positional({ type: string, displayName: "file" }), ...commonArgs },
    handler: async ({ file, daemons, json }) => {
        const { change } = readFileChange(file);
        const flags = { json, dryRun: true, changeId: undefined, base: undefined };
        await makeChange(new OperatorClient(daemons), [change], flags);
    },
});
