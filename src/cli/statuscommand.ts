/** `winglock status`. */
import { command, flag } from "cmd-ts";
import { commonArgs } from "./commonargs.js";
import { OperatorClient } from "./operatorclient.js";
import { output } from "./output.js";
import { statusTable } from "./statustable.js";

/** Shows who is up, leaving or silent, and at which revision. */
export const statusCommand = command({
    name: "status",
    description: "Shows each upstream's state, load and revision. Example: winglock status --json",
    args: {
        all: flag({ long: "all", description: "Shows each upstream, however many there are." }),
        ...commonArgs,
    },
    handler: async ({ all, daemons, json }) => {
        const status = await new OperatorClient(daemons).call(operator => operator.getStatus({}));
        output(json, status, statusTable(status, all));
    },
});
