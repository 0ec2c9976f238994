/** Implements `winglock apply`. */
import { command, positional, string } from "cmd-ts";
import { changeArgs } from "./changeargs.js";
import { commonArgs } from "./commonargs.js";
import { makeChange } from "./makechange.js";
import { OperatorClient } from "./operatorclient.js";
import { readFileChange } from "./readfilechange.js";

/** Replaces the whole configuration with the content of a file. */
export const applyCommand = command({
    name: "apply",
    description: "Replaces the whole configuration with a JSON file. Example: winglock apply mesh.json --dry-run",
    args: { file: positional({ type: string, displayName: "file" }), ...changeArgs, ...commonArgs },
    handler: async values => {
        const { revision, change } = readFileChange(values.file);
        const base = values.base ?? revision;
        await makeChange(new OperatorClient(values.daemons), [change], { ...values, base });
    },
});
